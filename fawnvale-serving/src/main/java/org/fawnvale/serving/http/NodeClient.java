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
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.spi.Call;

/**
 * The one way to a node: whatever is sent there, a caller's request, its repeat, an order or a
 * question, asks the gate just before it is written, and what each answer says of the node is told
 * to the gate before anything else is done with it. A wish that one sender hears holds for all.
 */
public final class NodeClient {

  private static final Logger LOG = LogManager.getLogger("nodes");

  private final HttpClient client;
  private final Timers timers;
  private final UpstreamGate gate;
  private final Function<HttpResponse, NodeResponse> reader;
  private final LimitLog limitLog;
  private final Counter rests;
  private final Counter leaves;
  private final Counter held;
  private Runnable onLeaving = () -> {};

  /**
   * Creates a client.
   *
   * @param client holds the connections
   * @param timers holds the guard
   * @param gate tells what may be sent, and learns from each answer
   * @param reader reads what a node says with the head of an answer
   * @param registry holds the figures
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
    this.rests = registry.counter("fawnvale.nodes.asked", "wish", "rest");
    this.leaves = registry.counter("fawnvale.nodes.asked", "wish", "leaving");
    this.held = registry.counter("fawnvale.nodes.held");
    this.limitLog = new LimitLog(registry);
    registry.gauge("fawnvale.nodes.resting", gate, known -> known.pausedCount(System.nanoTime()));
  }

  /**
   * Names who is told when a node has said in an answer that it leaves.
   *
   * @param listener told while the guard is held
   */
  public void onLeaving(Runnable listener) {
    onLeaving = listener;
  }

  /**
   * Sends a caller's request.
   *
   * @param node where to
   * @param request its head, without the headers that frame the body
   * @param body its body
   * @param listener told of the answer
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Node node, HttpRequest request, byte[] body, NodeResponseListener listener) {
    NodeIncarnation life = node.incarnation();
    BooleanSupplier mayWrite = () -> gate.tryAcquire(node, System.nanoTime());
    return client.send(
        node.endpoint(),
        request,
        body,
        mayWrite,
        new Hearing(life, listener, listener::head, true));
  }

  /**
   * Makes a call whose answer is read as a whole: an order, or a question. A node that leaves takes
   * them still, one that rests does not.
   *
   * @param node the node
   * @param call the call
   * @param timeoutMillis its time, in milliseconds
   * @param done told once what came of it, while the guard is held
   */
  public void call(Node node, Call call, long timeoutMillis, Consumer<BufferedCall.Reply> done) {
    NodeIncarnation life = node.incarnation();
    Endpoint endpoint = node.endpoint();
    BooleanSupplier mayWrite = () -> !gate.isPaused(life, System.nanoTime());
    BufferedCall.Sender sender =
        (request, body, whole) ->
            client.send(
                endpoint,
                request,
                body,
                mayWrite,
                new Hearing(life, whole, (head, said) -> whole.head(head), false));
    BufferedCall.send(sender, client, timers, endpoint, call, timeoutMillis, done);
  }

  /**
   * Finds out whether a process listens at an address; nothing is sent there.
   *
   * @param endpoint the address
   * @param told told once, while the guard is held
   */
  public void probe(Endpoint endpoint, Consumer<HttpClient.ProbeResult> told) {
    client.probe(endpoint, told);
  }

  /**
   * Closes the connections to an address that rest, since one gave no answer in its time.
   *
   * @param endpoint the address
   */
  public void closeIdle(Endpoint endpoint) {
    client.closeIdle(endpoint);
  }

  private void hear(NodeIncarnation life, NodeResponse said) {
    switch (gate.recordResponse(life, said, System.nanoTime())) {
      case PAUSED -> {
        rests.increment();
        LOG.info("node={} rest_ms={} outcome=rests", life.id(), said.retryAfterMillis());
      }
      case LEAVING -> {
        leaves.increment();
        LOG.info("node={} by=answer outcome=leaves", life.id());
        onLeaving.run();
      }
      case NONE -> {
        // It is known already.
      }
    }
  }

  /** Tells the gate what an answer says before its receiver decides anything. */
  private final class Hearing implements ClientListener {
    private final NodeIncarnation life;
    private final ResponseListener receiver;
    private final BiConsumer<HttpResponse, NodeResponse> headReceiver;
    private final boolean isCallers;
    private final int limitStamp;

    Hearing(
        NodeIncarnation life,
        ResponseListener receiver,
        BiConsumer<HttpResponse, NodeResponse> headReceiver,
        boolean isCallers) {
      this.life = life;
      this.receiver = receiver;
      this.headReceiver = headReceiver;
      this.isCallers = isCallers;
      this.limitStamp = gate.limits().knownLimits().version(life);
    }

    @Override
    public void head(HttpResponse answer) {
      NodeResponse said = reader.apply(answer);
      hear(life, said);
      hearLimit(said);
      headReceiver.accept(answer, said);
    }

    private void hearLimit(NodeResponse said) {
      KnownLimits.Change change =
          gate.limits().recordResponse(life, said, limitStamp, isCallers, System.nanoTime());
      limitLog.responseReceived(life, change, said.limit());
    }

    @Override
    public void data(ByteBuffer data) {
      receiver.data(data);
    }

    @Override
    public void end() {
      receiver.end();
    }

    @Override
    public void failed(Failure failure, Exception cause) {
      if (failure == Failure.HELD) {
        held.increment();
        LOG.info("node={} outcome=held", life.id());
      }
      receiver.failed(failure, cause);
    }
  }
}
