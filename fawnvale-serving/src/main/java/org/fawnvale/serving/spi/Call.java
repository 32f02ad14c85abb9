package org.fawnvale.serving.spi;

import java.util.Map;

/**
 * One HTTP call with a whole body.
 *
 * @param method its method
 * @param target its path and query
 * @param headers its headers, without those that frame the body
 * @param body its body; empty when it has none
 */
public record Call(String method, String target, Map<String, String> headers, byte[] body) {

  /**
   * A call without a body.
   *
   * @param target its path and query
   * @return the call
   */
  public static Call get(String target) {
    return new Call("GET", target, Map.of(), new byte[0]);
  }
}
