package org.fawnvale.serving.limit;

import java.util.function.Consumer;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;

/** Asks the daemon that decides on a matter for all. */
public final class OwnerClient {

  private static final int OK = 200;

  /** A caller waits for this; daemons are milliseconds apart. */
  private static final long ASK_MILLIS = 60;

  private final HttpClient client;
  private final Timers timers;
  private final int port;

  /**
   * Creates them.
   *
   * @param client sends the questions
   * @param timers bounds their time
   * @param port where daemons answer each other
   */
  public OwnerClient(HttpClient client, Timers timers, int port) {
    this.client = client;
    this.timers = timers;
    this.port = port;
  }

  /**
   * Asks a daemon.
   *
   * @param owner the daemon
   * @param target the path of the question
   * @param told told the body of its answer once, while the guard is held; empty without one
   */
  void ask(RendezvousOwners.Daemon owner, String target, Consumer<byte[]> told) {
    Endpoint endpoint = new Endpoint(owner.address(), port);
    BufferedCall.send(
        client, timers, endpoint, Call.get(target), ASK_MILLIS, reply -> told.accept(body(reply)));
  }

  private static byte[] body(BufferedCall.Reply reply) {
    boolean given = reply instanceof BufferedCall.Answered answered && answered.status() == OK;
    return given ? ((BufferedCall.Answered) reply).body() : new byte[0];
  }
}
