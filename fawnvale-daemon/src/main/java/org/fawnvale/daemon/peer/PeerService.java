package org.fawnvale.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.kernel.Service;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.wire.FrameCodec;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;
import org.jspecify.annotations.Nullable;

/**
 * Keeps links to the other daemons and dispatches their messages.
 *
 * <p>Each daemon dials the peers that {@link PeerSelection} selects and sends its messages over
 * those links. A response is sent over the link on which the request arrived.
 */
public final class PeerService implements Service {

  private static final Logger LOG = LogManager.getLogger("peer");
  private static final int MAXIMUM_FRAME_BYTES = 20 * 1024 * 1024;
  private static final int HANDSHAKE_MILLIS = 2000;
  private static final long DIAL_PERIOD_MILLIS = 500;

  private final Context context;
  private final FleetState state;
  private final FrameCodec codec = FrameCodec.withLimit(MAXIMUM_FRAME_BYTES);
  private final Map<String, Link> dialed = new ConcurrentHashMap<>();
  private final Set<Link> accepted = ConcurrentHashMap.newKeySet();
  private final Map<String, CompletableFuture<Void>> dialing = new ConcurrentHashMap<>();
  private final Set<String> attempted = ConcurrentHashMap.newKeySet();
  private final Map<Class<?>, BiConsumer<Link, Message>> handlers = new ConcurrentHashMap<>();
  private final List<Consumer<Link>> dialListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Link>> acceptListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Link>> closeListeners = new CopyOnWriteArrayList<>();
  private @Nullable ServerSocket server;
  private volatile boolean stopped;

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state supplies the registered daemons
   */
  public PeerService(Context context, FleetState state) {
    this.context = context;
    this.state = state;
  }

  /**
   * Sets the handler of a message type.
   *
   * @param type the class of the messages
   * @param handler receives each message with its link; must not block
   * @param <T> the type of the messages
   */
  public <T extends Message> void on(Class<T> type, BiConsumer<Link, T> handler) {
    handlers.put(type, (link, message) -> handler.accept(link, type.cast(message)));
  }

  /**
   * Registers a listener for links that this daemon dials.
   *
   * @param listener called with each link once the link is up
   */
  public void onDialed(Consumer<Link> listener) {
    dialListeners.add(listener);
  }

  /**
   * Registers a listener for links that other daemons dial.
   *
   * @param listener called with each link once the link is up
   */
  public void onAccepted(Consumer<Link> listener) {
    acceptListeners.add(listener);
  }

  /**
   * Registers a listener for links that close, dialed or accepted.
   *
   * @param listener called with each link once the link is closed
   */
  public void onClosed(Consumer<Link> listener) {
    closeListeners.add(listener);
  }

  @Override
  public void start() throws ServiceException {
    DaemonSettings.Listener listener = context.settings().peers();
    try {
      InetAddress address = InetAddress.getByName(listener.address());
      server = new ServerSocket(listener.port(), 256, address);
    } catch (IOException e) {
      throw new ServiceException(
          "Cannot listen for peers on "
              + listener.address()
              + ":"
              + listener.port()
              + "; free the port or change peers.port.",
          e);
    }
  }

  /**
   * Begins to accept and to dial links. Called once, after {@link #start}, when all handlers are
   * set: a message without a handler is lost. Connections that came before wait.
   */
  void openLinks() {
    context.executor().execute(this::acceptLoop);
    state.onChange(view -> dialMissing());
    context
        .scheduler()
        .scheduleWithFixedDelay(this::dialMissing, 0, DIAL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    stopped = true;
    try {
      if (server != null) {
        server.close();
      }
    } catch (IOException e) {
      LOG.debug("Closing the listener for peers failed.", e);
    }
    dialed.values().forEach(Link::close);
    accepted.forEach(Link::close);
  }

  /**
   * Returns this daemon's registration with the actual port of its listener.
   *
   * @return the registration; its port is 0 before the service is started
   */
  public Registration registration() {
    ServerSocket socket = server;
    int port = socket == null ? 0 : socket.getLocalPort();
    return new Registration(
        context.identity().daemon(),
        context.identity().dataCentre(),
        context.settings().peers().address() + ":" + port);
  }

  /**
   * Returns the links that this daemon dialed and that are up.
   *
   * @return a copy of the links
   */
  public List<Link> links() {
    return new ArrayList<>(dialed.values());
  }

  /**
   * Returns the bytes sent over all links that are up, dialed and accepted.
   *
   * @return the sum in bytes; a link that closes no longer counts
   */
  public long sentBytes() {
    return allLinks().mapToLong(Link::sentBytes).sum();
  }

  /**
   * Returns the bytes received over all links that are up, dialed and accepted.
   *
   * @return the sum in bytes; a link that closes no longer counts
   */
  public long receivedBytes() {
    return allLinks().mapToLong(Link::receivedBytes).sum();
  }

  private Stream<Link> allLinks() {
    return Stream.concat(dialed.values().stream(), accepted.stream());
  }

  /**
   * Returns the dialed links to the daemons of a data centre.
   *
   * @return the links that are up
   */
  public List<Link> linksTo(String dataCentre) {
    return dialed.values().stream()
        .filter(link -> link.peer().dataCentre().equals(dataCentre))
        .toList();
  }

  /** Sends a message to all linked daemons of the own data centre. */
  public void sendToDataCentre(Message message) {
    linksTo(context.identity().dataCentre()).forEach(link -> link.send(message));
  }

  /**
   * Returns the dialed link to a daemon.
   *
   * @param daemon the daemon's name
   * @return the link, or null if none is up
   */
  public @Nullable Link linkTo(String daemon) {
    return dialed.get(daemon);
  }

  /**
   * Returns the dialed link to a daemon, and dials the daemon first if no link is up. Blocks the
   * calling thread while the daemon is dialed.
   *
   * @param daemon the daemon's name
   * @param timeoutMillis the longest wait for the link, milliseconds
   * @return the link, or null if the daemon is not among the selected peers, cannot be reached, or
   *     was not reached in time
   */
  public @Nullable Link awaitLink(String daemon, long timeoutMillis) {
    if (!isUp(daemon)) {
      for (Registration peer : selected()) {
        if (peer.name().equals(daemon)) {
          awaitDial(peer, timeoutMillis);
        }
      }
    }
    return dialed.get(daemon);
  }

  private void awaitDial(Registration peer, long timeoutMillis) {
    try {
      startDial(peer).get(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.debug("No link to {} within {} ms.", peer.name(), timeoutMillis);
    }
  }

  /**
   * Returns whether each selected peer has been dialed since the start, with or without success.
   * Until then, requests for a peer may fail although the peer is up.
   *
   * @return true if no peer remains to be dialed for the first time
   */
  public boolean hasDialedPeers() {
    return selected().stream().allMatch(peer -> attempted.contains(peer.name()));
  }

  private List<Registration> selected() {
    return PeerSelection.select(registration(), state.view().daemons());
  }

  private boolean isUp(String name) {
    Link link = dialed.get(name);
    return link != null && !link.isClosed();
  }

  private void acceptLoop() {
    ServerSocket socket = server;
    while (socket != null && !stopped) {
      try {
        Socket connection = socket.accept();
        context.executor().execute(() -> openAccepted(connection));
      } catch (IOException e) {
        if (!stopped) {
          LOG.warn("Accepting a connection from a peer failed: {}", e.getMessage());
        }
      }
    }
  }

  private void openAccepted(Socket connection) {
    try {
      Link link =
          Link.open(
              connection, context.identity(), context.keys().peers(), codec, HANDSHAKE_MILLIS);
      accepted.add(link);
      link.start(
          context.executor(),
          this::dispatch,
          () -> {
            accepted.remove(link);
            closeListeners.forEach(listener -> listener.accept(link));
          });
      acceptListeners.forEach(listener -> listener.accept(link));
    } catch (IOException e) {
      LOG.warn("Refused a connection to the listener for peers: {}", e.getMessage());
      closeQuietly(connection);
    }
  }

  private static void closeQuietly(Socket connection) {
    try {
      connection.close();
    } catch (IOException e) {
      LOG.debug("Closing a refused connection failed.", e);
    }
  }

  /**
   * Dials selected peers without a link and closes links to daemons that are no longer selected.
   * Synchronized, so that a run with an earlier list closes no link that a later one needs.
   */
  private synchronized void dialMissing() {
    if (stopped) {
      return;
    }
    Set<String> names = new HashSet<>();
    for (Registration peer : selected()) {
      names.add(peer.name());
      if (!isUp(peer.name())) {
        startDial(peer);
      }
    }
    for (Map.Entry<String, Link> entry : dialed.entrySet()) {
      if (!names.contains(entry.getKey())) {
        entry.getValue().close();
      }
    }
  }

  /**
   * Dials a peer unless it is being dialed or its link is up.
   *
   * @return completed when the attempt has ended, with or without a link
   */
  private CompletableFuture<Void> startDial(Registration peer) {
    CompletableFuture<Void> attempt = new CompletableFuture<>();
    CompletableFuture<Void> current = dialing.putIfAbsent(peer.name(), attempt);
    if (current != null) {
      return current;
    }
    if (isUp(peer.name())) { // Another attempt may have ended since the caller's check.
      endDial(peer, attempt);
    } else {
      context.executor().execute(() -> dial(peer, attempt));
    }
    return attempt;
  }

  private void endDial(Registration peer, CompletableFuture<Void> attempt) {
    attempted.add(peer.name());
    dialing.remove(peer.name());
    attempt.complete(null);
  }

  private void dial(Registration peer, CompletableFuture<Void> attempt) {
    try {
      Link link =
          Link.dial(
              address(peer.address()),
              context.identity(),
              context.keys().peers(),
              codec,
              HANDSHAKE_MILLIS);
      if (!link.peer().daemon().equals(peer.name())) {
        link.close();
        return;
      }
      dialed.put(peer.name(), link);
      link.start(context.executor(), this::dispatch, () -> closed(peer.name(), link));
      LOG.info("Link to {} in {} is up.", peer.name(), peer.dataCentre());
      dialListeners.forEach(listener -> listener.accept(link));
    } catch (IOException e) {
      LOG.debug("Peer {} cannot be reached: {}", peer.name(), e.getMessage());
    } finally {
      endDial(peer, attempt);
    }
  }

  private void closed(String name, Link link) {
    if (dialed.remove(name, link) && !stopped) {
      LOG.info("The link to {} is down.", name);
    }
    closeListeners.forEach(listener -> listener.accept(link));
  }

  private void dispatch(Link link, Message message) {
    BiConsumer<Link, Message> handler = handlers.get(message.getClass());
    if (handler != null) {
      handler.accept(link, message);
    }
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
