package org.fawnvale.json.core;

import org.jspecify.annotations.Nullable;

/**
 * Reads a JSON text.
 *
 * @param <T> the type of what is read
 */
@FunctionalInterface
public interface ElementReader<T> {

  /**
   * Reads a text.
   *
   * @param text the bytes of one JSON value
   * @return what was read; null if the bytes are no JSON value
   */
  @Nullable T read(byte[] text);
}
