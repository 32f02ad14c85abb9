package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.jspecify.annotations.Nullable;

/** Selects the headers that the gateway forwards. */
final class Headers {

  private static final Set<String> NOT_FORWARDED =
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

  private static final String EVENT_STREAM = "text/event-stream";

  private Headers() {}

  /**
   * Returns the end-to-end headers of a message: all but the hop-by-hop headers, those that its
   * {@code Connection} header lists, {@code Content-Length} and {@code Expect}.
   */
  static List<Header> endToEnd(HttpMessage message) {
    Set<String> dropped = connectionOptions(message);
    List<Header> endToEnd = new ArrayList<>();
    for (Header header : message.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (!NOT_FORWARDED.contains(name) && !dropped.contains(name)) {
        endToEnd.add(header);
      }
    }
    return endToEnd;
  }

  /** Returns whether a message has a header that is passed on. */
  static boolean isEndToEnd(HttpMessage message, String name) {
    return message.containsHeader(name)
        && (!message.containsHeader(HttpHeaders.CONNECTION)
            || !connectionOptions(message).contains(name.toLowerCase(Locale.ROOT)));
  }

  /** Returns the names in all {@code Connection} headers; a name may stand there twice. */
  private static Set<String> connectionOptions(HttpMessage message) {
    Set<String> options = new HashSet<>();
    for (Header connection : message.getHeaders(HttpHeaders.CONNECTION)) {
      for (String option : connection.getValue().split(",")) {
        options.add(option.trim().toLowerCase(Locale.ROOT));
      }
    }
    return options;
  }

  /** Returns whether the body of a message is an event stream, as far as its media type tells. */
  static boolean mayBeEventStream(HttpMessage message) {
    String type = value(message, HttpHeaders.CONTENT_TYPE);
    return type == null || type.trim().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
  }

  static @Nullable String value(HttpMessage message, String name) {
    Header header = message.getFirstHeader(name);
    return header == null ? null : header.getValue();
  }
}
