package org.fawnvale.serving.http;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;

/** Reads from a response whether its connection may be reused, and for how long. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";
  private static final long MARGIN_MILLIS = 300;

  private KeepAlive() {}

  static boolean allowed(HttpResponse response) {
    Header connection = response.getFirstHeader(HttpHeaders.CONNECTION);
    boolean closes = connection != null && "close".equalsIgnoreCase(connection.getValue().trim());
    return ResponseFraming.of(response).marksEnd() && !closes;
  }

  /**
   * Returns the announced keep-alive in milliseconds, less a safety margin; negative if the
   * response announces none.
   */
  static long millis(HttpResponse response) {
    Header header = response.getFirstHeader("Keep-Alive");
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
