package org.fawnvale.serving.spi;

import java.util.Map;

/**
 * An HTTP request with a complete body.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers, without those that frame the body
 * @param body body; empty if there is none
 */
public record Call(String method, String target, Map<String, String> headers, byte[] body) {

  /**
   * Creates a GET request without a body.
   *
   * @param target path and query
   */
  public static Call get(String target) {
    return new Call("GET", target, Map.of(), new byte[0]);
  }
}
