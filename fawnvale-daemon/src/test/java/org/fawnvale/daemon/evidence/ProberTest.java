package org.fawnvale.daemon.evidence;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.Keys;
import org.fawnvale.wire.Identity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against two pauses of a node that look like one long silence. */
class ProberTest {

  private static final Node NODE = new Node("n", "dc", "f", "", "", null, false);
  private static final Result<NodeReport> REPORT =
      Result.success(new NodeReport("n", "1", null, 0, null, null, NodeReport.State.IDLE, 0, 0));
  private static final Result<NodeReport> SILENCE =
      Result.failure(Problem.of(ProblemKind.UNAVAILABLE, "Silent.", "Wait."));

  private final ExecutorService executor = Executors.newSingleThreadExecutor();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final Deque<Result<NodeReport>> results = new ArrayDeque<>();
  private Prober prober;

  @BeforeEach
  void createProber(@TempDir Path folder) throws IOException {
    String names = Files.writeString(folder.resolve("names"), "{}").toString();
    String peers = Files.writeString(folder.resolve("peers"), "key-of-peers").toString();
    DaemonSettings.KeyFiles keyFiles = new DaemonSettings.KeyFiles(names, names, peers);
    DaemonSettings.Listener any = new DaemonSettings.Listener("127.0.0.1", 0, null, null);
    DaemonSettings.Endpoint platform = new DaemonSettings.Endpoint("127.0.0.1", 1);
    DaemonSettings settings =
        new DaemonSettings("d", "dc", any, any, any, platform, keyFiles, null, null, null);
    Keys keys = Keys.read(keyFiles).fold(read -> read, problem -> null);
    Identity identity = new Identity("d", "dc", "d-incarnation");
    Context context = new Context(settings, keys, identity, () -> 0, () -> 0, executor, timer);
    prober = new Prober(context, (node, timeoutMillis) -> results.remove(), () -> {});
  }

  @AfterEach
  void stop() {
    executor.shutdownNow();
    timer.shutdownNow();
  }

  /** Probes the node in one period and waits for the end of its probes. */
  private void period() throws Exception {
    prober.probeAll(List.of(NODE), Set.of("d"));
    Future<?> last = executor.submit(() -> {});
    last.get();
  }

  @Test
  void aNodeThatStopsAnsweringIsProbedOnceMoreAtOnce() throws Exception {
    results.addAll(List.of(REPORT, SILENCE, REPORT));
    period();
    period();
    assertThat(results).isEmpty();
    assertThat(prober.takeLost()).containsExactly("n");
    assertThat(prober.fresh(0)).hasSize(1);
  }

  @Test
  void aNodeThatStaysSilentIsProbedOnceAPeriod() throws Exception {
    results.addAll(List.of(REPORT, SILENCE, SILENCE, SILENCE, REPORT));
    period();
    period();
    assertThat(results).as("probed once and once more").hasSize(2);
    period();
    assertThat(results).hasSize(1);
    assertThat(prober.fresh(0)).isEmpty();
  }
}
