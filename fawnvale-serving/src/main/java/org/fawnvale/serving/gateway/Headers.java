package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.jspecify.annotations.Nullable;

/** Headers that may pass from one connection to the next. */
final class Headers {

  private static final Set<String> SINGLE_CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private Headers() {}

  /**
   * The headers that concern more than a single connection.
   *
   * @param message the message
   * @return its headers without those of the connection and those that it names as such
   */
  static List<Header> passing(HttpMessage message) {
    String named = value(message, "Connection");
    Set<String> dropped =
        named == null
            ? Set.of()
            : Set.of(named.toLowerCase(Locale.ROOT).replace(" ", "").split(","));
    List<Header> passing = new ArrayList<>();
    for (Header header : message.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (!SINGLE_CONNECTION.contains(name) && !dropped.contains(name)) {
        passing.add(header);
      }
    }
    return passing;
  }

  static @Nullable String value(HttpMessage message, String name) {
    Header header = message.getFirstHeader(name);
    return header == null ? null : header.getValue();
  }
}
