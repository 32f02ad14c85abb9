package org.fawnvale.serving.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.MessageSpacing;

/** The UDP socket over which this daemon exchanges messages with the other daemons. */
public final class PeerLink {

  private static final Logger LOG = LogManager.getLogger("peer");
  private static final int MAX_DATAGRAM_BYTES = 16_384;
  private static final long ADDRESS_TTL_NANOS = 40_000_000_000L;
  private static final int ADDRESSES_PER_MESSAGE = 4;

  private final DatagramSocket socket;
  private final Settings settings;
  private final Object lock;
  private final Consumer<PeerMessageCodec.Datagram> receiver;
  private final Map<String, Long> lastSeenNanos = new LinkedHashMap<>();
  private int sequence;
  private long sent;

  private PeerLink(
      Settings settings,
      Object lock,
      DatagramSocket socket,
      Consumer<PeerMessageCodec.Datagram> receiver) {
    this.settings = settings;
    this.lock = lock;
    this.socket = socket;
    this.receiver = receiver;
  }

  /**
   * Opens the socket. Datagrams wait in it until {@link #listen}.
   *
   * @param settings the daemon's settings
   * @param lock held while a received datagram is processed
   * @param receiver called with each datagram from another daemon, while the lock is held
   * @return the open link
   * @throws IOException if the port can't be bound
   */
  static PeerLink open(Settings settings, Object lock, Consumer<PeerMessageCodec.Datagram> receiver)
      throws IOException {
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.peerPort());
    DatagramSocket socket = new DatagramSocket(address);
    PeerLink link = new PeerLink(settings, lock, socket, receiver);
    long now = System.nanoTime();
    for (String seed : settings.seedHosts()) {
      if (!seed.equals(settings.address())) {
        link.lastSeenNanos.put(seed, now);
      }
    }
    return link;
  }

  /** Starts the thread that receives datagrams. Called once, when all that they lead to exists. */
  void listen() {
    Thread listener = new Thread(this::receiveUntilClosed, "peers");
    listener.setDaemon(true);
    listener.start();
  }

  private void receiveUntilClosed() {
    byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        PeerMessageCodec.Datagram datagram = PeerMessageCodec.read(buffer, packet.getLength());
        handle(datagram);
      } catch (IOException e) {
        if (!socket.isClosed()) {
          LOG.debug("Could not read a datagram: {}.", e.toString());
        }
      } catch (RuntimeException e) {
        LOG.warn("Ignored a malformed datagram: {}.", e.toString());
      }
    }
  }

  /** Handles a well-formed datagram; what fails here is a fault of this daemon. */
  private void handle(PeerMessageCodec.Datagram datagram) {
    try {
      synchronized (lock) {
        receive(datagram);
      }
    } catch (RuntimeException e) {
      LOG.error(
          "A datagram of {} was handled in part only; report the trace.",
          datagram.message().name(),
          e);
    }
  }

  private void receive(PeerMessageCodec.Datagram datagram) {
    String address = datagram.message().address();
    if (address.equals(settings.address())) {
      return;
    }
    long now = System.nanoTime();
    lastSeenNanos.put(address, now);
    // An address that is known only from datagrams of other daemons expires after half the time.
    for (String other : datagram.addresses()) {
      if (!other.equals(settings.address())) {
        lastSeenNanos.putIfAbsent(other, now - ADDRESS_TTL_NANOS / 2);
      }
    }
    receiver.accept(datagram);
  }

  /**
   * Returns a few known addresses of daemons. Successive messages carry different ones, so that all
   * known addresses are sent in turn.
   */
  List<String> addresses() {
    List<String> all = new ArrayList<>(lastSeenNanos.keySet());
    if (!all.isEmpty()) {
      Collections.rotate(all, -Math.floorMod(sequence * ADDRESSES_PER_MESSAGE, all.size()));
    }
    return List.copyOf(all.subList(0, Math.min(ADDRESSES_PER_MESSAGE, all.size())));
  }

  /**
   * Adds the address of a daemon that a digest lists as live.
   *
   * @param address the daemon's IP address
   */
  void addAddress(String address) {
    if (!address.equals(settings.address())) {
      lastSeenNanos.put(address, System.nanoTime());
    }
  }

  /**
   * Sends a datagram to some daemons.
   *
   * @param datagram the content of the datagram
   * @param targets the IP addresses to send to
   */
  void send(PeerMessageCodec.Datagram datagram, Set<String> targets) {
    if (targets.isEmpty()) {
      return;
    }
    try {
      byte[] bytes = PeerMessageCodec.write(datagram);
      targets.forEach(address -> sendTo(address, bytes));
    } catch (IOException e) {
      LOG.warn("Could not encode a peer message: {}.", e.toString());
    }
  }

  /**
   * Sends a datagram to the known addresses whose daemons are not live, to each at the interval of
   * {@link MessageSpacing}, and drops addresses that have expired. Seed hosts never expire.
   *
   * @param datagram the content of the datagram
   * @param live the addresses of the live daemons
   */
  void sendToUnreachable(PeerMessageCodec.Datagram datagram, Set<String> live) {
    sequence++;
    long now = System.nanoTime();
    lastSeenNanos
        .entrySet()
        .removeIf(
            entry ->
                now - entry.getValue() > ADDRESS_TTL_NANOS
                    && !settings.seedHosts().contains(entry.getKey()));
    Set<String> unreachable = new HashSet<>(lastSeenNanos.keySet());
    unreachable.removeAll(live);
    unreachable.removeIf(address -> !isDue(address));
    send(datagram, unreachable);
  }

  private boolean isDue(String address) {
    return MessageSpacing.isDue(sequence, address, lastSeenNanos.size() + 1);
  }

  private void sendTo(String address, byte[] bytes) {
    try {
      InetAddress target = InetAddress.getByName(address);
      socket.send(new DatagramPacket(bytes, bytes.length, target, settings.peerPort()));
      sent++;
    } catch (IOException e) {
      LOG.debug("Could not send a datagram to {}: {}.", address, e.toString());
    }
  }

  /** Returns the number of datagrams sent since the start. */
  long sent() {
    return sent;
  }

  /** Closes the socket; the receiving thread ends. */
  void close() {
    socket.close();
  }
}
