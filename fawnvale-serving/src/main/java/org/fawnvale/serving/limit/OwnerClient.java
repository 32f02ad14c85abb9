package org.fawnvale.serving.limit;

import java.util.function.Consumer;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;

/** Calls the daemon that owns a limit or a quarantined request. */
public final class OwnerClient {

  private static final int OK = 200;

  /**
   * Timeout of a call. A caller's request waits for the reply, and daemons are milliseconds apart.
   */
  private static final long TIMEOUT_MILLIS = 60;

  private final HttpClient client;
  private final Timers timers;
  private final int port;

  /**
   * Creates a client.
   *
   * @param client sends the HTTP requests
   * @param timers runs the timeouts
   * @param port port on which daemons answer each other
   */
  public OwnerClient(HttpClient client, Timers timers, int port) {
    this.client = client;
    this.timers = timers;
    this.port = port;
  }

  /**
   * Calls a daemon.
   *
   * @param owner daemon to call
   * @param target path of the HTTP request
   * @param result receives the body of the response, or an empty array if there was none with
   *     status 200; called once, with the lock held
   */
  void call(RendezvousOwners.Daemon owner, String target, Consumer<byte[]> result) {
    Endpoint endpoint = new Endpoint(owner.address(), port);
    BufferedCall.send(
        client,
        timers,
        endpoint,
        Call.get(target),
        TIMEOUT_MILLIS,
        reply -> result.accept(body(reply)));
  }

  private static byte[] body(BufferedCall.Reply reply) {
    boolean ok = reply instanceof BufferedCall.Answered answered && answered.status() == OK;
    return ok ? ((BufferedCall.Answered) reply).body() : new byte[0];
  }
}
