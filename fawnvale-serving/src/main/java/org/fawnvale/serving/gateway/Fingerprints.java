package org.fawnvale.serving.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * Computes fingerprints of requests. The gateway computes one only for suspected requests, since
 * hashing a body costs about as much as reading the request.
 */
final class Fingerprints {

  /** A cryptographic hash that every Java platform supports. */
  private static final String ALGORITHM = "SHA-256";

  private static final int HEXADECIMAL = 16;

  private Fingerprints() {}

  static Fingerprint of(HttpRequest head, byte[] body, @Nullable Workspace workspace) {
    MessageDigest digest = digest();
    update(digest, workspace == null ? "" : workspace.name());
    update(digest, head.getMethod());
    String host = Headers.value(head, HttpHeaders.HOST);
    update(digest, host == null ? "" : host);
    update(digest, head.getRequestUri());
    digest.update(body);
    return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
  }

  /**
   * Computes the fingerprint of a prompt part: its id, if that is a hexadecimal number of up to 16
   * digits, so that logs show it; else a digest of the id.
   */
  static Fingerprint ofPart(String id) {
    try {
      return new Fingerprint(Long.parseUnsignedLong(id, HEXADECIMAL));
    } catch (NumberFormatException e) {
      MessageDigest digest = digest();
      update(digest, id);
      return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }
  }

  /**
   * Terminates each part with a zero byte, which no part contains, to keep the input unambiguous.
   */
  private static void update(MessageDigest digest, String part) {
    digest.update(part.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          ALGORITHM + " is not available; use a complete Java runtime.", e);
    }
  }
}
