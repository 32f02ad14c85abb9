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

/** Sends this daemon's note to all known daemons and hears theirs. */
public final class PeerLink {

  private static final Logger LOG = LogManager.getLogger("peer");
  private static final int DATAGRAM_BYTES = 16_384;
  private static final long FORGET_NANOS = 40_000_000_000L;
  private static final int ADDRESSES_A_NOTE = 4;

  private final DatagramSocket socket;
  private final Settings settings;
  private final Object guard;
  private final Consumer<PeerMessageCodec.Datagram> heard;
  private final Map<String, Long> lastHeard = new LinkedHashMap<>();
  private int turn;
  private long sent;

  private PeerLink(
      Settings settings,
      Object guard,
      DatagramSocket socket,
      Consumer<PeerMessageCodec.Datagram> heard) {
    this.settings = settings;
    this.guard = guard;
    this.socket = socket;
    this.heard = heard;
  }

  /**
   * Opens the link and begins to hear.
   *
   * @param settings the daemon's settings
   * @param guard held while a note is handed over
   * @param heard told of each note
   * @return the link
   * @throws IOException when the port can't be bound
   */
  static PeerLink open(Settings settings, Object guard, Consumer<PeerMessageCodec.Datagram> heard)
      throws IOException {
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.peerPort());
    DatagramSocket socket = new DatagramSocket(address);
    PeerLink link = new PeerLink(settings, guard, socket, heard);
    long now = System.nanoTime();
    for (String seed : settings.seedHosts()) {
      if (!seed.equals(settings.address())) {
        link.lastHeard.put(seed, now);
      }
    }
    Thread listener = new Thread(link::listen, "peers");
    listener.setDaemon(true);
    listener.start();
    return link;
  }

  private void listen() {
    byte[] buffer = new byte[DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        PeerMessageCodec.Datagram datagram = PeerMessageCodec.read(buffer, packet.getLength());
        synchronized (guard) {
          take(datagram);
        }
      } catch (IOException e) {
        if (!socket.isClosed()) {
          LOG.debug("A datagram could not be read: {}.", e.toString());
        }
      } catch (RuntimeException e) {
        LOG.warn("A datagram is malformed and ignored: {}.", e.toString());
      }
    }
  }

  private void take(PeerMessageCodec.Datagram datagram) {
    String address = datagram.note().address();
    if (address.equals(settings.address())) {
      return;
    }
    long now = System.nanoTime();
    lastHeard.put(address, now);
    for (String other : datagram.addresses()) {
      if (!other.equals(settings.address())) {
        lastHeard.putIfAbsent(other, now - FORGET_NANOS / 2);
      }
    }
    heard.accept(datagram);
  }

  /**
   * Some addresses of daemons heard of, not long ago; all of them in turn.
   *
   * @return the addresses
   */
  List<String> addresses() {
    List<String> all = new ArrayList<>(lastHeard.keySet());
    if (!all.isEmpty()) {
      Collections.rotate(all, -Math.floorMod(turn * ADDRESSES_A_NOTE, all.size()));
    }
    return List.copyOf(all.subList(0, Math.min(ADDRESSES_A_NOTE, all.size())));
  }

  /**
   * Learns of a daemon that a digest tells of.
   *
   * @param address its IP address
   */
  void learn(String address) {
    if (!address.equals(settings.address())) {
      lastHeard.put(address, System.nanoTime());
    }
  }

  /**
   * Sends a note to some daemons.
   *
   * @param datagram the note
   * @param targets their addresses
   */
  void send(PeerMessageCodec.Datagram datagram, Set<String> targets) {
    if (targets.isEmpty()) {
      return;
    }
    try {
      byte[] bytes = PeerMessageCodec.write(datagram);
      targets.forEach(address -> sendTo(address, bytes));
    } catch (IOException e) {
      LOG.warn("The note could not be written: {}.", e.toString());
    }
  }

  /**
   * Sends a note, now and then, to addresses that were told of but not heard, and forgets old ones.
   *
   * @param datagram the note
   * @param live addresses of the daemons that are alive
   */
  void sendToUnheard(PeerMessageCodec.Datagram datagram, Set<String> live) {
    turn++;
    long now = System.nanoTime();
    lastHeard
        .entrySet()
        .removeIf(
            entry ->
                now - entry.getValue() > FORGET_NANOS
                    && !settings.seedHosts().contains(entry.getKey()));
    Set<String> unheard = new HashSet<>(lastHeard.keySet());
    unheard.removeAll(live);
    unheard.removeIf(address -> !isDue(address));
    send(datagram, unheard);
  }

  private boolean isDue(String address) {
    return MessageSpacing.isDue(turn, address, lastHeard.size() + 1);
  }

  private void sendTo(String address, byte[] bytes) {
    try {
      InetAddress target = InetAddress.getByName(address);
      socket.send(new DatagramPacket(bytes, bytes.length, target, settings.peerPort()));
      sent++;
    } catch (IOException e) {
      LOG.debug("No datagram to {}: {}.", address, e.toString());
    }
  }

  /**
   * Datagrams sent so far.
   *
   * @return their number
   */
  long sent() {
    return sent;
  }

  /** Closes the link. */
  void close() {
    socket.close();
  }
}
