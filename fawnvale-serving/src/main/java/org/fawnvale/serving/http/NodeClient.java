package org.fawnvale.serving.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.limit.ColdPeriods;
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.spi.Call;

/**
 * Sends all requests to nodes: callers' requests, their repeats, orders and queries. It checks the
 * {@link UpstreamGate} just before it writes a request, and records the signals of each response in
 * the gate before it passes the response on, so that a signal applies to all senders at once.
 */
public final class NodeClient {

  private static final Logger LOG = LogManager.getLogger("nodes");

  /** The longest answer to an order or a query, in bytes; sound ones have some hundred. */
  private static final int MAX_REPORT_BYTES = 64 << 10;

  private final HttpClient client;
  private final Timers timers;
  private final UpstreamGate gate;
  private final Function<HttpResponse, NodeResponse> reader;
  private final LimitLog limitLog;
  private final Counter pauses;
  private final Counter departures;
  private final Counter withheld;
  private final Counter withheldForEvacuation;
  private Runnable onLeaving = () -> {};
  private ReachListener reach = ReachListener.NONE;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param timers runs the timeouts of orders and queries
   * @param gate decides what may be sent, and records the signals of each response
   * @param reader reads the signals from a response's status and headers
   * @param registry receives the metrics
   */
  public NodeClient(
      HttpClient client,
      Timers timers,
      UpstreamGate gate,
      Function<HttpResponse, NodeResponse> reader,
      MeterRegistry registry) {
    this.client = client;
    this.timers = timers;
    this.gate = gate;
    this.reader = reader;
    this.pauses = registry.counter("fawnvale.nodes.asked", "wish", "rest");
    this.departures = registry.counter("fawnvale.nodes.asked", "wish", "leaving");
    this.withheld = registry.counter("fawnvale.nodes.held");
    this.withheldForEvacuation =
        registry.counter("fawnvale.evacuation.requests", "outcome", "held");
    this.limitLog = new LimitLog(registry);
    registry.gauge("fawnvale.nodes.resting", gate, known -> known.pausedCount(System.nanoTime()));
  }

  /**
   * Sets the action to run when a node first announces in a response that it is leaving.
   *
   * @param listener the action; runs with the daemon's lock held
   */
  public void onLeaving(Runnable listener) {
    onLeaving = listener;
  }

  /**
   * Sets what receives the evidence of this daemon's path to the nodes.
   *
   * @param listener called with the daemon's lock held
   */
  public void onReach(ReachListener listener) {
    reach = listener;
  }

  /**
   * Reports that a node does not answer: a stream stands still, or a request has timed out.
   *
   * @param node the node
   */
  public void reportSilence(Node node) {
    reach.failed(node, ResponseListener.Failure.SILENT);
  }

  /**
   * Reports that no connection to a node opens while its streams are silent.
   *
   * @param node the node
   */
  public void reportDisconnected(Node node) {
    reach.failed(node, ResponseListener.Failure.UNREACHABLE);
  }

  /**
   * Sends a caller's request. It fails with {@link ClientListener.Failure#HELD} if the node's data
   * centre is evacuated, or if the node is leaving, has asked for a pause, or is cold or has a
   * limit that allows no request now.
   *
   * @param node the node to send to
   * @param request the request line and headers, without Content-Length or Transfer-Encoding
   * @param body the body; may be empty
   * @param listener receives the response
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Node node, HttpRequest request, byte[] body, NodeResponseListener listener) {
    return client.send(
        node.endpoint(), request, body, () -> mayWrite(node), callerListener(node, listener));
  }

  /**
   * Sends a caller's request to a node that was sent it before, over a connection of its own: what
   * the node answered the first time may come once more on the connection that carried it.
   *
   * @param node the node to send to
   * @param request the request line and headers, without Content-Length or Transfer-Encoding
   * @param body the body; may be empty
   * @param listener receives the response
   * @return the exchange, which can be cancelled
   */
  public ClientExchange sendAgain(
      Node node, HttpRequest request, byte[] body, NodeResponseListener listener) {
    return client.sendAlone(
        node.endpoint(), request, body, () -> mayWrite(node), callerListener(node, listener));
  }

  private boolean mayWrite(Node node) {
    return gate.tryAcquire(node, System.nanoTime());
  }

  private ClientListener callerListener(Node node, NodeResponseListener listener) {
    return new RecordingListener(node, listener, listener::head, true);
  }

  /**
   * Sends an order or a query, and reads its response as a whole. A leaving node still accepts
   * these; a node that has asked for a pause is sent none. Each has a connection of its own, since
   * its answer does not name it: the answer to an earlier order would count for one that the node
   * may not have received.
   *
   * @param node the node to send to
   * @param call the order or query
   * @param timeoutMillis the timeout in milliseconds
   * @param done called once with the result, with the daemon's lock held
   */
  public void call(Node node, Call call, long timeoutMillis, Consumer<BufferedCall.Reply> done) {
    NodeIncarnation incarnation = node.life();
    Endpoint endpoint = node.endpoint();
    BooleanSupplier mayWrite = () -> !gate.isPaused(incarnation, System.nanoTime());
    BufferedCall.Sender sender =
        (request, body, bufferedCall) ->
            client.sendAlone(
                endpoint,
                request,
                body,
                mayWrite,
                new RecordingListener(
                    node, bufferedCall, (head, signals) -> bufferedCall.head(head), false));
    Consumer<BufferedCall.Reply> recorded =
        reply -> {
          recordFailure(node, reply);
          done.accept(reply);
        };
    AnswerBody body = new AnswerBody(MAX_REPORT_BYTES);
    BufferedCall.send(sender, body, client, timers, endpoint, call, timeoutMillis, recorded);
  }

  /** Records a failed call, also one that has timed out, which its listener does not hear of. */
  private void recordFailure(Node node, BufferedCall.Reply reply) {
    if (reply instanceof BufferedCall.Failed failed
        && failed.failure() != ResponseListener.Failure.HELD) {
      reach.failed(node, failed.failure());
    }
  }

  /**
   * Checks whether a process listens at an address; sends no request there.
   *
   * @param endpoint the address
   * @param callback called once, with the daemon's lock held
   */
  public void probe(Endpoint endpoint, Consumer<HttpClient.ProbeResult> callback) {
    client.probe(endpoint, callback);
  }

  /**
   * Checks within a given time whether a process listens at an address; sends no request there.
   *
   * @param endpoint the address
   * @param timeoutMillis how long the connection may take to open, in milliseconds
   * @param callback called once, with the daemon's lock held
   */
  public void probe(
      Endpoint endpoint, long timeoutMillis, Consumer<HttpClient.ProbeResult> callback) {
    client.probe(endpoint, timeoutMillis, callback);
  }

  /**
   * Closes the idle connections to an address after a request there timed out.
   *
   * @param endpoint the address
   */
  public void closeIdle(Endpoint endpoint) {
    client.closeIdle(endpoint);
  }

  private void recordSignals(NodeIncarnation incarnation, NodeResponse signals) {
    switch (gate.recordResponse(incarnation, signals, System.nanoTime())) {
      case PAUSED -> {
        pauses.increment();
        LOG.info("node={} rest_ms={} outcome=rests", incarnation.id(), signals.retryAfterMillis());
      }
      case LEAVING -> {
        departures.increment();
        LOG.info("node={} by=answer outcome=leaves", incarnation.id());
        onLeaving.run();
      }
      case NONE -> {
        // The gate knew the signals already.
      }
    }
  }

  /** Records the signals of a response in the gate before it passes the response on. */
  private final class RecordingListener implements ClientListener {
    private final Node node;
    private final NodeIncarnation incarnation;
    private final ResponseListener listener;
    private final BiConsumer<HttpResponse, NodeResponse> headListener;
    private final boolean isCallerRequest;
    private final int limitVersion;

    RecordingListener(
        Node node,
        ResponseListener listener,
        BiConsumer<HttpResponse, NodeResponse> headListener,
        boolean isCallerRequest) {
      this.node = node;
      this.incarnation = node.life();
      this.listener = listener;
      this.headListener = headListener;
      this.isCallerRequest = isCallerRequest;
      this.limitVersion = gate.limits().knownLimits().version(incarnation);
    }

    @Override
    public AnswerMatch match(HttpResponse response) {
      return listener.match(response);
    }

    @Override
    public void head(HttpResponse response) {
      reach.heard(node);
      NodeResponse signals = reader.apply(response);
      recordSignals(incarnation, signals);
      recordLimit(signals);
      gate.limits()
          .coldPeriods()
          .extend(
              incarnation,
              node.service(),
              signals.coldRemainingMillis(),
              ColdPeriods.Source.ANSWER,
              System.nanoTime());
      headListener.accept(response, signals);
    }

    private void recordLimit(NodeResponse signals) {
      KnownLimits.Change change =
          gate.limits()
              .recordResponse(
                  incarnation, signals, limitVersion, isCallerRequest, System.nanoTime());
      limitLog.responseReceived(incarnation, change, signals.limit());
    }

    @Override
    public void data(ByteBuffer data) {
      reach.heard(node);
      listener.data(data);
    }

    @Override
    public int readCapacity() {
      return listener.readCapacity();
    }

    @Override
    public void end() {
      listener.end();
    }

    @Override
    public void failed(Failure failure, Exception cause) {
      try {
        record(failure);
      } finally {
        listener.failed(failure, cause);
      }
    }

    private void record(Failure failure) {
      if (failure == Failure.HELD) {
        recordWithheld();
      } else if (isCallerRequest) {
        reach.failed(node, failure);
      }
    }

    private void recordWithheld() {
      boolean evacuated = isCallerRequest && gate.evacuations().isEvacuated(node.dataCentre());
      (evacuated ? withheldForEvacuation : withheld).increment();
      LOG.info("node={} evacuated={} outcome=held", incarnation.id(), evacuated);
    }
  }
}
