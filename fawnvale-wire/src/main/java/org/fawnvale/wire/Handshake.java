package org.fawnvale.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Mutual authentication of both ends of a link by the shared peer key. */
final class Handshake {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final Identity self;
  private final SecretKeySpec key;
  private final FrameCodec codec;

  Handshake(Identity self, byte[] key, FrameCodec codec) {
    this.self = self;
    this.key = new SecretKeySpec(key, ALGORITHM);
    this.codec = codec;
  }

  /** Exchanges hellos and proofs; returns the peer's identity, or throws if that fails. */
  Identity perform(DataInputStream in, DataOutputStream out) throws IOException {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    Message.Hello own =
        new Message.Hello(self.daemon(), self.dataCentre(), self.incarnation(), nonce);
    send(own, out);
    Message.Hello other = expect(Message.Hello.class, in);
    send(new Message.Proof(sign(other.nonce(), own)), out);
    Message.Proof proof = expect(Message.Proof.class, in);
    if (!MessageDigest.isEqual(proof.mac(), sign(nonce, other))) {
      throw new FrameException("Authentication failed: the peer does not have the shared key.");
    }
    return new Identity(other.daemon(), other.dataCentre(), other.incarnation());
  }

  private void send(Message message, DataOutputStream out) throws IOException {
    codec.write(codec.encode(message), out);
    out.flush();
  }

  private <T extends Message> T expect(Class<T> type, DataInputStream in) throws IOException {
    Message message = codec.read(in);
    if (!type.isInstance(message)) {
      throw new FrameException("The peer sent an unexpected message during the handshake.");
    }
    return type.cast(message);
  }

  private byte[] sign(byte[] nonce, Message.Hello hello) throws IOException {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(nonce);
      mac.update(hello.nonce());
      for (String part : new String[] {hello.daemon(), hello.dataCentre(), hello.incarnation()}) {
        mac.update(part.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IOException("HMAC-SHA-256 is missing; run on a complete Java runtime.", e);
    }
  }
}
