package org.fawnvale.benchmarks;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.core.model.Registration;
import org.fawnvale.daemon.state.DaemonList;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.platform.HttpObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.standins.fleet.FleetPlan;
import org.fawnvale.standins.fleet.LocalFleet;
import org.fawnvale.wire.FrameCodec;
import org.fawnvale.wire.Identity;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;

/** Measures the control overhead of one idle daemon by number of peers and nodes. */
public final class ControlCost {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int WARMUP_SECONDS = 12;
  private static final int SECONDS = 15;
  private static final int VOUCHES_PER_PEER = 14;
  private static final FrameCodec CODEC = FrameCodec.withLimit(20 * 1024 * 1024);

  private ControlCost() {}

  /**
   * Prints a line for each size.
   *
   * @param arguments the daemon's jar, then pairs of peers and nodes, such as 46x333
   * @throws Exception when a fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's output
    out.println(
        "PEERS NODES  CPU % of a core  SENT B/s  RECEIVED B/s  RESIDENT MB  CALLS/s R W WATCH");
    for (int i = 1; i < arguments.length; i++) {
      String[] pair = arguments[i].split("x");
      measure(Path.of(arguments[0]), Integer.parseInt(pair[0]), Integer.parseInt(pair[1]), out);
    }
  }

  private static void measure(Path jar, int peers, int nodes, PrintStream out) throws Exception {
    FleetPlan plan =
        new FleetPlan(List.of("dc"), 1, 1, nodes, "none", List.of(), Map.of(), Map.of());
    Path folder = Files.createTempDirectory("fawnvale-control");
    ExecutorService executor = Executors.newCachedThreadPool();
    try (LocalFleet fleet = LocalFleet.start(folder, jar, plan, Map.of("caller-key", "w"))) {
      String daemon = fleet.daemons().get(0);
      byte[] key = Files.readString(folder.resolve("peers.key")).getBytes(StandardCharsets.UTF_8);
      AtomicLong received = new AtomicLong();
      List<Registration> peerRegistrations = new ArrayList<>();
      for (int i = 0; i < peers; i++) {
        peerRegistrations.add(listen("peer-" + i, key, executor, received));
      }
      register(fleet, peerRegistrations);
      int port = Integer.parseInt(fleet.peerPort(daemon));
      for (int i = 0; i < peers; i++) {
        startPeer(new Identity("peer-" + i, "dc", "x"), port, key, executor);
      }
      TimeUnit.SECONDS.sleep(WARMUP_SECONDS);
      long pid = fleet.child(daemon).pid();
      double[] first =
          counters(fleet, daemon); // Outside the measurement: the first scrape is costly.
      ProcessUse before = ProcessUse.of(pid);
      TimeUnit.SECONDS.sleep(SECONDS);
      ProcessUse after = ProcessUse.of(pid);
      double[] last = counters(fleet, daemon);
      out.printf(
          Locale.ROOT,
          "%5d %5d  %15.2f  %8.0f  %12.0f  %11.0f  %.1f %.1f %.1f%n",
          peers,
          nodes,
          100 * (after.cpuSeconds() - before.cpuSeconds()) / SECONDS,
          (last[0] - first[0]) / SECONDS,
          (last[1] - first[1]) / SECONDS,
          after.residentMegabytes(),
          (last[2] - first[2]) / SECONDS,
          (last[3] - first[3]) / SECONDS,
          (last[4] - first[4]) / SECONDS);
    } finally {
      executor.shutdownNow();
    }
  }

  private static Registration listen(
      String name, byte[] key, ExecutorService executor, AtomicLong received) throws IOException {
    ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName(LOOPBACK));
    Identity identity = new Identity(name, "dc", "x");
    executor.execute(
        () -> {
          try {
            while (!server.isClosed()) {
              Link link = Link.open(server.accept(), identity, key, CODEC, 5000);
              link.start(executor, (from, message) -> received.incrementAndGet(), () -> {});
            }
          } catch (IOException e) {
            closeQuietly(server);
          }
        });
    return new Registration(name, "dc", LOOPBACK + ":" + server.getLocalPort());
  }

  private static void closeQuietly(ServerSocket server) {
    try {
      server.close();
    } catch (IOException e) {
      // Nothing left to release.
    }
  }

  private static void startPeer(Identity identity, int port, byte[] key, ExecutorService executor) {
    executor.execute(
        () -> {
          try {
            Link link =
                Link.dial(new InetSocketAddress(LOOPBACK, port), identity, key, CODEC, 5000);
            link.start(executor, (from, message) -> {}, () -> {});
            List<Message.Vouch> vouches = new ArrayList<>();
            for (int i = 0; i < VOUCHES_PER_PEER; i++) {
              vouches.add(
                  new Message.Vouch(identity.daemon() + "-" + i, "1", "r", 1, "1", "m@1", "READY"));
            }
            link.send(new Message.Vouches(1, vouches, List.of()));
            while (!link.isClosed()) {
              link.send(new Message.Beat(System.nanoTime(), 1, 1, 1, new int[VOUCHES_PER_PEER]));
              TimeUnit.SECONDS.sleep(1);
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private static void register(LocalFleet fleet, List<Registration> peerRegistrations)
      throws IOException {
    String name = ObjectNames.daemons("dc");
    try (HttpObjectStore store =
        HttpObjectStore.create(LOOPBACK, fleet.port("platform"), 2000, 2000, kind -> {})) {
      StoredObject found = store.get(name).fold(Optional::orElseThrow, problem -> null);
      DaemonList list = Documents.read(found.value(), DaemonList.class);
      for (Registration registration : peerRegistrations) {
        list = list.with(registration, "crowd");
      }
      store.put(name, found.version(), Documents.write(list));
    }
  }

  private static double[] counters(LocalFleet fleet, String daemon) throws IOException {
    URI uri = URI.create("http://" + fleet.operators(daemon) + "/metrics");
    String text = fleet.send(HttpRequest.newBuilder(uri).GET()).body();
    return new double[] {
      value(text, "fawnvale_links_sent_bytes"),
      value(text, "fawnvale_links_received_bytes"),
      value(text, "fawnvale_platform_calls_total{kind=\"read\"}"),
      value(text, "fawnvale_platform_calls_total{kind=\"write\"}"),
      value(text, "fawnvale_platform_calls_total{kind=\"watch\"}")
    };
  }

  private static double value(String text, String name) {
    for (String line : text.split("\n")) {
      if (line.startsWith(name + " ")) {
        return Double.parseDouble(line.substring(name.length() + 1));
      }
    }
    return Double.NaN;
  }
}
