package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.fawnvale.core.model.Node;
import org.junit.jupiter.api.Test;

/** Guards against a failed engine that is taken for a pausing one, and the reverse. */
class EngineClientTest {

  private static final int CONNECT_MILLIS = 5_000;
  private static final int STALL_MILLIS = 5_000;
  private static final int SILENCE_MILLIS = 200;
  private static final int FAILURE_MILLIS = 30_000;

  private final EngineClient client =
      EngineClient.create(
          UpstreamClient.create(CONNECT_MILLIS, STALL_MILLIS), System::nanoTime, "daemon");

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  private static Node node(int port) {
    return new Node("n", "dc", "f", "127.0.0.1:" + port, "", null, false);
  }

  @Test
  void anEngineThatStandsStillAcceptsConnections() throws IOException {
    try (ServerSocket silent = listen()) {
      assertThat(client.acceptsConnections(node(silent.getLocalPort()), SILENCE_MILLIS)).isTrue();
    }
  }

  @Test
  void anEngineThatRefusesConnectionsHasFailed() throws IOException {
    int port;
    try (ServerSocket closed = listen()) {
      port = closed.getLocalPort();
    }
    assertThat(client.acceptsConnections(node(port), FAILURE_MILLIS)).isFalse();
  }

  @Test
  void anEngineThatClosesConnectionsWithoutAnAnswerHasFailed() throws IOException {
    try (ServerSocket closing = listen()) {
      Thread server = new Thread(() -> acceptAndClose(closing), "closing");
      server.setDaemon(true);
      server.start();
      assertThat(client.acceptsConnections(node(closing.getLocalPort()), FAILURE_MILLIS)).isFalse();
    }
  }

  private static void acceptAndClose(ServerSocket server) {
    try {
      server.accept().close();
    } catch (IOException e) {
      // The test closes the server when the client has its result.
    }
  }
}
