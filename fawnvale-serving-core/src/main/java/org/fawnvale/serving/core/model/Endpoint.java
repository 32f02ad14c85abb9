package org.fawnvale.serving.core.model;

/**
 * An IP address and a port.
 *
 * @param host the address in digits
 * @param port the port
 */
public record Endpoint(String host, int port) {

  /**
   * Reads {@code HOST:PORT}.
   *
   * @param text the text
   * @return the endpoint
   * @throws IllegalArgumentException when the text has another form
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("'" + text + "' is no endpoint; write it as IP:PORT.");
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
