package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.CopyDelays;
import org.fawnvale.serving.core.watch.StartupFetches;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;

/**
 * Exchanges copies of the store's objects with peers: fetches newer objects from peers, and answers
 * the queries of peers from this daemon's copy. A daemon that watches the store itself delays its
 * fetches, because its own watch usually delivers the same changes.
 *
 * @param <T> the type of the objects
 */
public final class PeerCopyExchange<T> {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int FETCH_TIMEOUT_MILLIS = 800;

  private static final String SINCE = "?since=";
  private static final int OK = 200;

  private final HttpClient client;
  private final Timers timers;
  private final StoreWatch<T> watch;
  private final String path;
  private final int port;
  private final CopyCodec<T> codec;
  private final CopyPacing pacing;
  private final StartupFetches startupFetches;
  private final LongSupplier nanoClock;
  private CachedResponse cached = new CachedResponse("", -1, new byte[0]);

  /**
   * The last response. All daemons of a data centre send the same query in quick succession; after
   * a rollback of the store each of them asks for the whole copy, which is expensive to serialise
   * in a large cluster.
   *
   * @param target the path and query that it answers
   * @param changeCount the change count of the copy at the time of serialisation
   * @param body the serialised update
   */
  private record CachedResponse(String target, long changeCount, byte[] body) {}

  /**
   * Creates the exchange for one kind of objects.
   *
   * @param client sends the queries
   * @param timers enforces timeouts and delays
   * @param watch holds this daemon's copy
   * @param path the path under which daemons serve copies of this kind
   * @param port the port at which every daemon answers the queries of its peers
   * @param codec encodes the updates
   * @param times the minimum interval between fetches and the delays before them
   * @param startupFetches decides when a daemon that has just started fetches without these delays
   * @param nanoClock monotonic clock, in nanoseconds
   */
  public PeerCopyExchange(
      HttpClient client,
      Timers timers,
      StoreWatch<T> watch,
      String path,
      int port,
      CopyCodec<T> codec,
      CopyDelays times,
      StartupFetches startupFetches,
      LongSupplier nanoClock) {
    this.pacing = new CopyPacing(times);
    this.client = client;
    this.timers = timers;
    this.watch = watch;
    this.path = path;
    this.port = port;
    this.codec = codec;
    this.startupFetches = startupFetches;
    this.nanoClock = nanoClock;
  }

  /**
   * A peer's announcement of the state of its copy.
   *
   * @param address the peer's address
   * @param isNear whether the peer is in the same data centre; traffic between data centres is
   *     expensive
   * @param newest the position of the newest change in the peer's copy
   * @param takesPrecedence whether the peer's copy contains an object that takes precedence over
   *     this daemon's, although the store may no longer show it
   */
  public record Advertisement(
      String address, boolean isNear, StorePosition newest, boolean takesPrecedence) {}

  /**
   * Processes a peer's advertisement, and fetches the peer's copy if it is newer. When the copy
   * shows a later era, a daemon that watches the store also lists the store's objects again.
   *
   * @param advertised the state of the peer's copy
   */
  public void onAdvertisement(Advertisement advertised) {
    boolean watches = watch.isActive() && watch.reachable();
    if (watches && advertised.newest().isKnown()) {
      watch.onEraReported(advertised.newest().era());
    }
    if (!isNewer(advertised)) {
      return;
    }
    long now = nanoClock.getAsLong();
    if (startupFetches.isDue(watch.newest(), now)) {
      fetch(advertised);
      return;
    }
    int delay = pacing.delayMillis(watches, advertised.isNear(), now);
    if (delay == 0) {
      fetch(advertised);
    } else if (delay != CopyPacing.NEVER) {
      timers.after(delay, () -> fetch(advertised));
    }
  }

  private boolean isNewer(Advertisement advertised) {
    return advertised.newest().isAfter(watch.newest()) || advertised.takesPrecedence();
  }

  private void fetch(Advertisement advertised) {
    if (isNewer(advertised) && pacing.tryStartFetch(nanoClock.getAsLong())) {
      Endpoint peer = new Endpoint(advertised.address(), port);
      StorePosition since = advertised.takesPrecedence() ? StorePosition.NONE : watch.position();
      Call query = Call.get(path + SINCE + StorePositionText.write(since));
      BufferedCall.send(client, timers, peer, query, FETCH_TIMEOUT_MILLIS, this::handleReply);
    }
  }

  private void handleReply(BufferedCall.Reply reply) {
    boolean answered = reply instanceof BufferedCall.Answered answer && answer.status() == OK;
    if (!answered) {
      LOG.info("path={} outcome=no_copy_from_peer", path);
      return;
    }
    try {
      CopyUpdate<T> update = codec.read(((BufferedCall.Answered) reply).body());
      watch.merge(update);
    } catch (IOException e) {
      LOG.warn("path={} outcome=unreadable_copy cause={}", path, e.toString());
    }
  }

  /**
   * Returns whether a peer's query asks for objects of this kind.
   *
   * @param target the path and query
   * @return true when {@link #respond} answers it
   */
  public boolean handles(String target) {
    return target.startsWith(path + SINCE);
  }

  /**
   * Answers a peer's query with the objects that the peer lacks.
   *
   * @param target the path and query
   * @return a {@link CopyUpdate} as MessagePack; empty when this daemon's copy has no objects, the
   *     query can't be parsed or the update can't be serialised
   */
  public byte[] respond(String target) {
    if (watch.objects().isEmpty()) {
      return new byte[0];
    }
    if (target.equals(cached.target()) && watch.changeCount() == cached.changeCount()) {
      return cached.body();
    }
    try {
      StorePosition since =
          StorePositionText.read(target.substring(path.length() + SINCE.length()));
      byte[] body = codec.write(watch.updateSince(since));
      cached = new CachedResponse(target, watch.changeCount(), body);
      return body;
    } catch (NumberFormatException e) {
      LOG.warn("path={} outcome=unreadable_question target={}", path, target);
      return new byte[0];
    } catch (IOException e) {
      LOG.error("path={} outcome=copy_not_written cause={}", path, e.toString());
      return new byte[0];
    }
  }
}
