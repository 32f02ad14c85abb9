package org.fawnvale.http;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/** Reads the bodies of answers whose senders always mark their end. */
public final class WholeBody {

  private WholeBody() {}

  /**
   * Reads the body of an answer.
   *
   * @param response the answer
   * @param maxBytes the most bytes that are read
   * @return the body; empty if the answer has none
   * @throws IOException if the body has neither a length nor chunks, so that nothing tells its end
   *     from a cut, or if the connection fails or ends before its end
   */
  public static byte[] read(ClassicHttpResponse response, int maxBytes) throws IOException {
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      return new byte[0];
    }
    if (!entity.isChunked() && entity.getContentLength() < 0) {
      throw new ConnectionClosedException(
          "The answer has neither a length nor chunks; check what serves at that address.");
    }
    byte[] body = EntityUtils.toByteArray(entity, maxBytes);
    return body == null ? new byte[0] : body;
  }
}
