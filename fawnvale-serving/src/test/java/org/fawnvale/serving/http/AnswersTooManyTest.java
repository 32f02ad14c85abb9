package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer too many, however it is framed and cut, that is taken for the own. */
class AnswersTooManyTest {

  private static final int MAX_HEADER_BYTES = 8_192;
  private static final long MAX_WAIT_SECONDS = 20;
  private static final String OWN = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown";

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(MAX_HEADER_BYTES);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private ServerSocket server;

  /** Receives the answer that names this request. */
  private final class Listener implements ClientListener {
    private String answer = "";

    @Override
    public AnswerMatch match(HttpResponse response) {
      boolean own = "own".equals(response.getFirstHeader("Id").getValue());
      return own ? AnswerMatch.OWN : AnswerMatch.OTHER;
    }

    @Override
    public void head(HttpResponse response) {
      answer = response.getCode() + " ";
    }

    @Override
    public void data(ByteBuffer data) {
      answer += StandardCharsets.US_ASCII.decode(data);
    }

    @Override
    public void end() {
      results.add(answer);
    }

    @Override
    public void failed(Failure failure, Exception cause) {
      results.add(failure.toString());
    }
  }

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    timers.stop();
    reactor.stop();
    server.close();
  }

  /**
   * Answers the only request with bytes, a piece at a time, and ends the connection behind them.
   */
  private void answer(String bytes, int pieceBytes) {
    Thread thread = new Thread(() -> write(bytes, pieceBytes), "answering-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void write(String bytes, int pieceBytes) {
    try (Socket socket = server.accept()) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = in.readLine();
      while (!line.isEmpty()) {
        line = in.readLine();
      }
      OutputStream out = socket.getOutputStream();
      byte[] all = bytes.getBytes(StandardCharsets.US_ASCII);
      for (int start = 0; start < all.length; start += pieceBytes) {
        out.write(all, start, Math.min(pieceBytes, all.length - start));
        out.flush();
      }
      socket.shutdownOutput();
      int read = 0;
      while (read >= 0) {
        read = in.read();
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private String send() throws InterruptedException {
    Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
    synchronized (timers.lock()) {
      client.send(endpoint, new BasicHttpRequest("GET", "/"), new byte[0], new Listener());
    }
    return results.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 1_000_000})
  void answersToOtherRequestsArePassedOverInPiecesOfAnySize(int pieceBytes) throws Exception {
    String withLength = "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 10\r\n\r\nnot \r\n\r\nit";
    String withoutBody = "HTTP/1.1 204 No Content\r\nId: b\r\n\r\n";
    String withChunks =
        "HTTP/1.1 200 OK\r\nId: c\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "4\r\nHTTP\r\n3;x=y\r\n200\r\n0\r\nId: own\r\n\r\n";
    String information = "HTTP/1.1 102 Processing\r\n\r\n";
    answer(withLength + withoutBody + information + withChunks + OWN, pieceBytes);
    assertThat(send()).isEqualTo("200 own");
  }

  /** Nothing can follow an answer whose end is that of its connection. */
  @Test
  void requestIsBrokenWhenAnotherAnswerEndsTheConnection() throws Exception {
    answer("HTTP/1.1 200 OK\r\nId: a\r\n\r\nnot it", 1_000);
    assertThat(send()).isEqualTo("BROKEN");
  }

  @Test
  void requestIsBrokenWhenTheConnectionEndsInsideAnotherAnswer() throws Exception {
    answer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\nnot it", 1_000);
    assertThat(send()).isEqualTo("BROKEN");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
      })
  void requestIsBrokenOffWhenAnswersToOthersNeverEnd(String framing) throws Exception {
    String other = "HTTP/1.1 200 OK\r\nId: a\r\n" + framing;
    answer(other.repeat((40 << 20) / other.length()), 1 << 20);
    assertThat(send()).isEqualTo("BROKEN");
  }
}
