package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.reach.ForwardingPeers;
import org.fawnvale.serving.http.ClientExchange;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.spi.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Forwards requests to other daemons while this one does not reach upstreams. A forwarded request
 * is the caller's own, with the number of attempts that it has used; the other daemon does not
 * forward it any further. Callers of the methods hold the lock.
 */
public final class PeerForwarding {

  /** Request header with the number of attempts that may have run the request. */
  static final String ATTEMPTS = "Fawnvale-Attempts";

  /** Response header of a daemon that has not taken a forwarded request on; it has not run. */
  static final String NOT_TAKEN = "Fawnvale-Not-Taken";

  /** Response header of a daemon whose upstream has broken off a forwarded request. */
  static final String BROKEN_OFF = "Fawnvale-Broken-Off";

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final HttpClient client;
  private final int port;
  private final Supplier<Collection<PeerMessage>> live;
  private final ForwardingPeers peers;

  /**
   * Creates the forwarding of one daemon.
   *
   * @param client sends the requests
   * @param port port on which daemons take forwarded requests
   * @param dataCentre data centre of this daemon
   * @param live supplies the last messages of the other live daemons
   */
  public PeerForwarding(
      HttpClient client, int port, String dataCentre, Supplier<Collection<PeerMessage>> live) {
    this.client = client;
    this.port = port;
    this.live = live;
    this.peers = new ForwardingPeers(dataCentre, new Random());
  }

  /** Returns whether any other daemon reaches upstreams. */
  boolean isPossible() {
    return peers.anyForwards(live.get());
  }

  /** Chooses a daemon; null if none is left that reaches upstreams. */
  @Nullable PeerMessage choose(Set<String> excluded) {
    return peers.choose(live.get(), excluded);
  }

  /**
   * Sends a request to another daemon.
   *
   * @param attempts number of attempts that may have run it
   * @param lastEvent id of the last event that the caller has received; null if it has none
   */
  ClientExchange send(
      PeerMessage peer,
      CallerRequest request,
      int attempts,
      HeaderNames names,
      @Nullable String lastEvent,
      ClientListener listener) {
    HttpRequest forwarded = forwarded(request, attempts, names, lastEvent);
    return client.send(endpoint(peer), forwarded, request.body(), listener);
  }

  /** Closes the idle connections to a daemon that does not answer. */
  void closeIdle(PeerMessage peer) {
    client.closeIdle(endpoint(peer));
  }

  private Endpoint endpoint(PeerMessage peer) {
    return new Endpoint(peer.address(), port);
  }

  private static HttpRequest forwarded(
      CallerRequest request, int attempts, HeaderNames names, @Nullable String lastEvent) {
    HttpRequest head = request.head();
    BasicHttpRequest forwarded =
        new BasicHttpRequest(head.getMethod(), null, null, head.getRequestUri());
    Headers.endToEnd(head).forEach(forwarded::addHeader);
    long remainingMillis =
        Math.max(1, (request.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI);
    forwarded.setHeader(names.deadline(), String.valueOf(remainingMillis));
    forwarded.setHeader(ATTEMPTS, String.valueOf(attempts));
    if (lastEvent != null) {
      forwarded.setHeader(names.lastEvent(), lastEvent);
    }
    return forwarded;
  }

  /**
   * Returns the attempts that a forwarded request has used, as its header says; 0 if unreadable.
   */
  static int attempts(HttpRequest head) {
    String value = Headers.value(head, ATTEMPTS);
    return value != null && value.matches("[0-9]{1,3}") ? Integer.parseInt(value) : 0;
  }

  /** Returns whether an upstream of a daemon may have run a forwarded request, and broke off. */
  static boolean isBrokenOff(HttpResponse response) {
    return response.containsHeader(BROKEN_OFF);
  }

  /** Returns whether a daemon has declined a forwarded request, which has not run there. */
  static boolean isDeclined(HttpResponse response) {
    return response.containsHeader(NOT_TAKEN);
  }
}
