package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait in vain for the result of a probe. */
class NodeExitProbeTest {

  /** Half of the time after which a probe ends without a result. */
  private static final int HALF_PROBE_MILLIS = 150;

  private static final int MAX_WAIT_SECONDS = 20;

  private static final int PROBES = 6;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final List<Socket> fillers = new ArrayList<>();
  private final NodeExitProbe probe =
      new NodeExitProbe(
          new NodeClient(
              new HttpClient(reactor, timers),
              timers,
              new UpstreamGate(
                  new SharedLimits(
                      new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a")))),
              new TestPlatform()::answer,
              new SimpleMeterRegistry()));
  private ServerSocket pausing;

  /** A listener whose queue of connections is full. */
  @BeforeEach
  void pause() throws IOException {
    pausing = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    boolean full = false;
    while (!full) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(pausing.getLocalSocketAddress(), 50);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
  }

  @AfterEach
  void stop() throws IOException {
    timers.stop();
    reactor.stop();
    for (Socket filler : fillers) {
      filler.close();
    }
    pausing.close();
  }

  private void probe(String name, Runnable onResult) {
    Endpoint endpoint = new Endpoint("127.0.0.1", pausing.getLocalPort());
    probe.probe(
        endpoint,
        exited -> {
          results.add(name);
          onResult.run();
        });
  }

  private void probe(String name) {
    probe(name, () -> {});
  }

  @Test
  void probesThatCallbacksOfAnotherProbeAskForEachHaveAResult() throws InterruptedException {
    synchronized (timers.lock()) {
      probe("first");
      probe("second", () -> probe("after second"));
      probe("third", () -> probe("after third"));
      timers.after(3 * HALF_PROBE_MILLIS, () -> probe("fourth"));
    }
    List<String> received = new ArrayList<>();
    for (int number = 0; number < PROBES; number++) {
      received.add(results.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
    }
    assertThat(received)
        .containsExactlyInAnyOrder(
            "first", "second", "third", "fourth", "after second", "after third");
  }
}
