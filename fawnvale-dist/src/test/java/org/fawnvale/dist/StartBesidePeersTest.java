package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against messages of peers that a daemon handles before it is complete. */
@Timeout(120)
class StartBesidePeersTest {

  private static final Path TARGET = Path.of(System.getProperty("fawnvale.root"), "target");
  private static final int NETWORK = 91;
  private static final int PEER_PORT = 20_340;
  private static final int MAX_DATAGRAM_BYTES = 16_384;
  private static final int STARTS = 6;
  private static final long WAIT_MILLIS = 20_000;
  private static final String PEER_ADDRESS = "127.0." + NETWORK + ".3";
  private static final String STARTING_ADDRESS = "127.0." + NETWORK + ".2";

  @TempDir private Path folder;

  private final AtomicBoolean over = new AtomicBoolean();
  private UsersPlatformStandIn platform;
  private EdgeDaemon running;
  private EdgeDaemon starting;
  private DatagramSocket peer;

  @BeforeEach
  void start() throws Exception {
    platform = UsersPlatformStandIn.start();
    platform.addWorker("i-a0", "a");
    peer = new DatagramSocket(new InetSocketAddress(PEER_ADDRESS, PEER_PORT));
    running = daemon(0);
    EdgeFleet.await(running::isAlive);
  }

  @AfterEach
  void stop() {
    over.set(true);
    if (starting != null) {
      starting.close();
    }
    running.close();
    peer.close();
    platform.close();
  }

  private EdgeDaemon daemon(int number) throws IOException {
    return EdgeDaemon.start(
        new EdgeDaemon.Place(NETWORK, number, "a", platform.storePort()),
        TARGET,
        folder,
        List.of());
  }

  /** Returns a message that the running daemon sends to a seed. */
  private DatagramPacket messageOfTheRunningDaemon() throws IOException {
    DatagramPacket message = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    peer.setSoTimeout((int) WAIT_MILLIS);
    peer.receive(message);
    return message;
  }

  private void sendOn(byte[] message) {
    try {
      InetAddress address = InetAddress.getByName(STARTING_ADDRESS);
      while (!over.get()) {
        peer.send(new DatagramPacket(message, message.length, address, PEER_PORT));
        TimeUnit.MILLISECONDS.sleep(1);
      }
    } catch (IOException | InterruptedException e) {
      over.set(true);
    }
  }

  private List<String> linesOfTheStartingDaemon(String text) {
    try (var lines = Files.lines(folder.resolve("edge-a-001.log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    } catch (IOException e) {
      return List.of();
    }
  }

  @Test
  void messagesThatArriveDuringAStartAreHandledOnceTheDaemonIsComplete() throws Exception {
    DatagramPacket message = messageOfTheRunningDaemon();
    byte[] bytes = Arrays.copyOf(message.getData(), message.getLength());
    Thread sender = new Thread(() -> sendOn(bytes), "peer");
    sender.start();
    starting = daemon(1);
    for (int number = 1; number <= STARTS; number++) {
      int starts = number;
      EdgeFleet.await(() -> linesOfTheStartingDaemon("outcome=started").size() == starts);
      EdgeFleet.await(() -> linesOfTheStartingDaemon("outcome=members_changed").size() >= starts);
      starting.kill();
      starting.startAgain();
    }
    assertThat(linesOfTheStartingDaemon("datagram")).isEmpty();
  }
}
