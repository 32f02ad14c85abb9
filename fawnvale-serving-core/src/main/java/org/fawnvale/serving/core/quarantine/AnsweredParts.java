package org.fawnvale.serving.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** The prompt parts that requests of this daemon's callers have been answered on, newest last. */
final class AnsweredParts {

  /**
   * Bounds the memory to about 0.7 MB; a part that is in use is seen again before it is dropped.
   */
  private static final int MAX_PARTS = 8_192;

  private final Map<Fingerprint, Boolean> parts =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Boolean> eldest) {
          return size() > MAX_PARTS;
        }
      };

  void add(Fingerprint part) {
    parts.put(part, Boolean.TRUE);
  }

  boolean contains(Fingerprint part) {
    return parts.containsKey(part);
  }
}
