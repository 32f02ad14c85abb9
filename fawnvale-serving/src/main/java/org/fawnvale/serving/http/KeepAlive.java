package org.fawnvale.serving.http;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;

/** Reads from a response whether its connection may be reused, and for how long. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";
  private static final long MARGIN_MILLIS = 300;

  /** Longer numbers of seconds are no longer than the longest of so many digits. */
  private static final int MAX_DIGITS = 9;

  private static final long MAX_SECONDS = 999_999_999;

  private KeepAlive() {}

  static boolean allowed(HttpResponse response) {
    return ResponseFraming.of(response).marksEnd() && !closes(response);
  }

  private static boolean closes(HttpResponse response) {
    for (Header connection : response.getHeaders(HttpHeaders.CONNECTION)) {
      for (String option : connection.getValue().split(",")) {
        if ("close".equalsIgnoreCase(option.trim())) {
          return true;
        }
      }
    }
    return false;
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
    if (digits.isEmpty()) {
      return -1;
    }
    long seconds = digits.length() > MAX_DIGITS ? MAX_SECONDS : Long.parseLong(digits);
    return Math.max(0, seconds * 1000 - MARGIN_MILLIS);
  }
}
