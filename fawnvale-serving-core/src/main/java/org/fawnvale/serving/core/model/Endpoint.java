package org.fawnvale.serving.core.model;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * An IP address and a port.
 *
 * @param host the IPv4 address in dotted decimal form
 */
public record Endpoint(String host, int port) {

  private static final int LAST_PORT = 65_535;

  /**
   * Four numbers up to 255. Any other text would be looked up as a name, which may take seconds.
   */
  private static final Pattern IPV4 =
      Pattern.compile("(?:(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(?:\\.(?!$)|$)){4}");

  /**
   * Parses {@code IP:PORT}.
   *
   * @return the endpoint
   * @throws IllegalArgumentException when the text has another form, or the address or the port is
   *     out of range
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !IPV4.matcher(text).region(0, colon).matches()) {
      throw new IllegalArgumentException("'" + text + "' is not an endpoint; expected IP:PORT.");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port < 1 || port > LAST_PORT) {
      throw new IllegalArgumentException(
          "'" + text + "' has no port between 1 and " + LAST_PORT + ".");
    }
    return new Endpoint(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }

  // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Endpoint that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }
}
