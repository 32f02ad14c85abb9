package org.fawnvale.serving.http;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;

/** How long a connection may rest, as an answer tells. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";
  private static final long MARGIN_MILLIS = 300;

  private KeepAlive() {}

  static boolean allowed(HttpResponse answer) {
    Header connection = answer.getFirstHeader(HttpHeaders.CONNECTION);
    boolean closes = connection != null && "close".equalsIgnoreCase(connection.getValue().trim());
    boolean framed =
        answer.containsHeader(HttpHeaders.CONTENT_LENGTH)
            || answer.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    return framed && !closes;
  }

  /** Returns the time in milliseconds, less a margin; negative when the answer tells none. */
  static long millis(HttpResponse answer) {
    Header header = answer.getFirstHeader("Keep-Alive");
    if (header == null) {
      return -1;
    }
    String value = header.getValue().toLowerCase(Locale.ROOT);
    int start = value.indexOf(TIMEOUT);
    if (start < 0) {
      return -1;
    }
    String digits = value.substring(start + TIMEOUT.length()).split("[^0-9]", 2)[0];
    return digits.isEmpty() ? -1 : Math.max(0, Long.parseLong(digits) * 1000 - MARGIN_MILLIS);
  }
}
