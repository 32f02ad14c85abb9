package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads of answers that fill the memory of the daemon. */
class UnboundedHeadTest {

  private static final int MANY = 200_000;
  private static final String STATUS = "HTTP/1.1 200 OK\r\nFawnvale-Hop: hop\r\n";
  private static final String END = "Content-Length: 2\r\n\r\nok";

  private ScriptedServer server;

  @BeforeEach
  void start() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private boolean opens(String answer) {
    server.script(answer.getBytes(StandardCharsets.US_ASCII), false, true);
    UpstreamRequest request =
        new UpstreamRequest(
            server.address(), "POST", "/x", Map.of(), new byte[] {'{', '}'}, "hop", true, false);
    UpstreamClient client = UpstreamClient.create(5000, 5000);
    return client.open(request, Deadline.in(System::nanoTime, 5000)) instanceof OpenResult.Opened;
  }

  @ParameterizedTest
  @ValueSource(strings = {"T-More: of the same\r\n", "\r\n"})
  void headWithTooManyLinesIsRefused(String line) {
    String lines = line.repeat(MANY);
    assertThat(opens(line.isBlank() ? lines + STATUS + END : STATUS + lines + END)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {10, MANY})
  void headWithALineThatIsTooLongIsRefused(int length) {
    boolean opened = opens(STATUS + "T-Long: " + "x".repeat(length) + "\r\n" + END);
    assertThat(opened).isEqualTo(length < MANY);
  }
}
