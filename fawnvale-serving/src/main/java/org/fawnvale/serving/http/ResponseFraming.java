package org.fawnvale.serving.http;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;

/** How the end of a response's body is marked (RFC 9112, section 6.3). */
public enum ResponseFraming {
  /** The body ends after the announced number of bytes, or the status allows none. */
  LENGTH,
  /** The body ends with a last chunk. */
  CHUNKS,
  /** The body ends when the sender closes the connection, also when the sender has failed. */
  CONNECTION;

  /**
   * Reads the framing from the headers of a response.
   *
   * @param response the status and headers
   * @return the framing
   */
  public static ResponseFraming of(HttpResponse response) {
    Header encoding = response.getFirstHeader(HttpHeaders.TRANSFER_ENCODING);
    if (encoding != null && encoding.getValue().toLowerCase(Locale.ROOT).contains("chunked")) {
      return CHUNKS;
    }
    return response.containsHeader(HttpHeaders.CONTENT_LENGTH) || hasNoBody(response.getCode())
        ? LENGTH
        : CONNECTION;
  }

  private static boolean hasNoBody(int status) {
    return status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED;
  }

  /**
   * Returns whether the end of the body shows that the sender has sent all of it.
   *
   * @return false if the body ends with its connection
   */
  public boolean marksEnd() {
    return this != CONNECTION;
  }
}
