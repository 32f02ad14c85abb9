package org.fawnvale.standins;

import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes a response a second time: the bytes that come where the next response is due. */
final class RepeatedAnswer {

  /** Longer bodies are not sent again, since they would be held for each connection. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  private RepeatedAnswer() {}

  /** Returns a stream that writes as the given one, and that a connection then sends again. */
  static Reply.Stream recording(Reply reply, Reply.Stream stream, AcceptedConnection connection) {
    return out -> {
      Recorder recorder = new Recorder(out);
      stream.writeTo(recorder);
      if (recorder.copy.size() <= MAX_BODY_BYTES) {
        connection.sendLater(bytes(reply, recorder.copy.toByteArray()));
      }
    };
  }

  /** Returns a response as it is sent. */
  static byte[] bytes(Reply reply, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(reply.status()).append(" Again\r\n");
    reply.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Type: ").append(reply.contentType());
    head.append("\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(body);
    return all.toByteArray();
  }

  /** Copies what is written. */
  private static final class Recorder extends FilterOutputStream {
    private final ByteArrayOutputStream copy = new ByteArrayOutputStream();

    Recorder(OutputStream out) {
      super(out);
    }

    @Override
    public void write(int oneByte) throws IOException {
      out.write(oneByte);
      copy.write(oneByte);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      out.write(bytes, offset, length);
      if (copy.size() <= MAX_BODY_BYTES) {
        copy.write(bytes, offset, length);
      }
    }
  }
}
