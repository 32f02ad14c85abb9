package org.fawnvale.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.fawnvale.core.settings.DaemonSettings;
import org.junit.jupiter.api.Test;

/** Guards against answers that are broken off and that callers take for whole. */
class BrokenOffBodiesTest {

  private static final String PIECE = "data: 1\n\n";

  @Test
  void brokenOffBodyHasNoLastChunk() throws Exception {
    BoundedHttpServer server =
        new BoundedHttpServer(
            "callers",
            new DaemonSettings.Listener("127.0.0.1", 0, null, null),
            10,
            (request, response, context) -> response.setEntity(new BrokenOffEntity()));
    server.start();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(10_000);
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(readAll(socket)).contains(PIECE).doesNotContain("\r\n0\r\n");
    } finally {
      server.stop();
    }
  }

  /** Reads until the server ends the connection, which it may do by a reset. */
  private static String readAll(Socket socket) {
    StringBuilder answer = new StringBuilder();
    try {
      for (int next = socket.getInputStream().read();
          next >= 0;
          next = socket.getInputStream().read()) {
        answer.append((char) next);
      }
    } catch (IOException e) {
      answer.append("<reset>");
    }
    return answer.toString();
  }

  private static final class BrokenOffEntity extends AbstractHttpEntity {

    BrokenOffEntity() {
      super(ContentType.TEXT_EVENT_STREAM, null, true);
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
      out.write(PIECE.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      throw new IOException("The upstream's stream was interrupted.");
    }

    @Override
    public InputStream getContent() {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean isStreaming() {
      return true;
    }

    @Override
    public long getContentLength() {
      return -1;
    }

    @Override
    public void close() {
      // There is nothing to release.
    }
  }
}
