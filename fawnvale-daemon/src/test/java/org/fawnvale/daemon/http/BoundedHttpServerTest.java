package org.fawnvale.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.fawnvale.core.settings.DaemonSettings;
import org.junit.jupiter.api.Test;

/** Guards against truncating a response that is being sent when the server stops. */
class BoundedHttpServerTest {

  private static final String EVENTS = "data: one\n\ndata: [DONE]\n\n";

  private BoundedHttpServer server;
  private Thread stopper;

  @Test
  void stopSendsTheRestOfAnAnswerThatItsHandlerHasWritten() throws Exception {
    DaemonSettings.Listener listener = new DaemonSettings.Listener("127.0.0.1", 0, null, null);
    server =
        new BoundedHttpServer(
            "callers",
            listener,
            10,
            (request, response, context) ->
                response.setEntity(
                    new EntityTemplate(-1, ContentType.TEXT_PLAIN, null, this::writeAndStop)));
    server.start();
    URI uri = URI.create("http://127.0.0.1:" + server.port() + "/");
    HttpResponse<String> answer =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    stopper.join();
    assertThat(answer.body()).isEqualTo(EVENTS);
  }

  /** Writes the whole response and stops the server before it has sent the last bytes. */
  private void writeAndStop(OutputStream out) throws IOException {
    out.write(EVENTS.getBytes(StandardCharsets.UTF_8));
    stopper = new Thread(server::stop);
    stopper.start();
    while (stopper.getState() != Thread.State.TERMINATED
        && stopper.getState() != Thread.State.TIMED_WAITING) {
      Thread.onSpinWait();
    }
  }
}
