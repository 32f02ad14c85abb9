package org.fawnvale.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.claims.IssuedRequestKeys;
import org.fawnvale.core.limits.RequestClass;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.kernel.Service;
import org.fawnvale.upstream.CopyResult;
import org.fawnvale.upstream.Deadline;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;
import org.jspecify.annotations.Nullable;

/** Forwards requests to other daemons over the peer links and runs those that they forward. */
public final class ForwardService implements Service {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final int MAXIMUM_BUFFERED_PIECES = 4096;

  /**
   * Longest wait for a link to the issuer of a key, milliseconds: a daemon that has just started
   * dials all its peers in less. An issuer that cannot be reached delays the answer by this time.
   */
  private static final long LINK_TIMEOUT_MILLIS = 2_000;

  private static final String EVENT_STREAM = "text/event-stream";

  private final Context context;
  private final PeerService peers;
  private final InFlightCounter inFlight;
  private final Map<Long, PendingForward> pendingForwards = new ConcurrentHashMap<>();
  private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
  private final Set<String> running = ConcurrentHashMap.newKeySet();
  private final AtomicLong numbers = new AtomicLong();
  private @Nullable BiFunction<CallerRequest, Purpose, Answer> runner;

  /** Why a request is forwarded. The names are sent to the other daemon. */
  enum Purpose {
    /**
     * The sender's data centre could not admit the request; the sender has already claimed its key,
     * if it has one.
     */
    SPILL,
    /** The receiver issued the request's key. */
    MAKER
  }

  private record PendingForward(Link link, BlockingQueue<Message> pieces) {}

  ForwardService(Context context, PeerService peers, InFlightCounter inFlight) {
    this.context = context;
    this.peers = peers;
    this.inFlight = inFlight;
  }

  void setRunner(BiFunction<CallerRequest, Purpose, Answer> newRunner) {
    this.runner = newRunner;
  }

  @Override
  public void start() {
    peers.on(Message.Forward.class, this::onForward);
    peers.on(Message.ForwardCancel.class, (link, cancel) -> cancel(link, cancel.number()));
    peers.on(Message.ForwardHead.class, (link, piece) -> onPiece(link, piece.number(), piece));
    peers.on(Message.ForwardChunk.class, (link, piece) -> onPiece(link, piece.number(), piece));
    peers.on(Message.ForwardEnd.class, (link, piece) -> onPiece(link, piece.number(), piece));
    peers.onClosed(this::onLinkClosed);
  }

  @Override
  public void stop() {
    // PeerService closes the links, and onLinkClosed then ends the pending forwards.
  }

  /**
   * Forwards a request to the other data centres in turn until one of them runs it. Returns empty
   * if none did.
   */
  Optional<Answer> spill(CallerRequest request) {
    Set<String> tried = new HashSet<>();
    for (Link link : peers.links()) {
      String dataCentre = link.peer().dataCentre();
      boolean other = !dataCentre.equals(context.identity().dataCentre());
      if (other && tried.add(dataCentre)) {
        Optional<Answer> answer = send(link, request, Purpose.SPILL);
        if (answer.isPresent() && !didNotRun(answer.get())) {
          return answer;
        }
      }
    }
    return Optional.empty();
  }

  private static boolean didNotRun(Answer answer) {
    return answer instanceof Answer.Whole whole && whole.outcome() instanceof Outcome.NotRun;
  }

  /**
   * Forwards a request to the daemon that issued its key; empty if that incarnation cannot be
   * linked. A daemon that has just started, or whose link has just closed, dials the issuer first:
   * without that, its caller would be told that the request may have run.
   */
  Optional<Answer> sendToIssuer(IssuedRequestKeys.Issuer maker, CallerRequest request) {
    long timeout = Math.min(LINK_TIMEOUT_MILLIS, request.deadline().remainingMillis());
    Link link = peers.awaitLink(maker.daemon(), timeout);
    if (link == null || !link.peer().incarnation().equals(maker.incarnation())) {
      return Optional.empty();
    }
    return send(link, request, Purpose.MAKER);
  }

  private Optional<Answer> send(Link link, CallerRequest request, Purpose purpose) {
    long number = numbers.incrementAndGet();
    PendingForward pending =
        new PendingForward(link, new LinkedBlockingQueue<>(MAXIMUM_BUFFERED_PIECES));
    pendingForwards.put(number, pending);
    if (!link.send(forward(number, request, purpose))) {
      pendingForwards.remove(number);
      return Optional.empty();
    }
    Message first = next(pending, request.deadline());
    if (first instanceof Message.ForwardHead head) {
      return Optional.of(answer(number, pending, head, request.deadline()));
    }
    giveUp(number, pending);
    return Optional.of(
        ErrorAnswers.unknown(
            "The daemon that the request was forwarded to did not answer.",
            request.deadline().hasPassed()));
  }

  private static Message.Forward forward(long number, CallerRequest request, Purpose purpose) {
    Map<String, String> headers =
        Map.of(
            "purpose", purpose.name(),
            "id", request.id(),
            "class", request.requestClass().name(),
            "unsafe", Boolean.toString(request.unsafe()),
            "key", request.key() == null ? "" : request.key(),
            "type", request.contentType());
    return new Message.Forward(
        number,
        request.workspace(),
        request.method(),
        request.path(),
        headers,
        Math.max(1, request.deadline().remainingMillis()),
        request.body());
  }

  private Answer answer(
      long number, PendingForward pending, Message.ForwardHead head, Deadline deadline) {
    String type = head.headers().getOrDefault("Content-Type", "");
    if (type.startsWith(EVENT_STREAM)) {
      return new Answer.Streamed(
          head.status(), head.headers(), out -> copy(number, pending, deadline, out));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (!(copy(number, pending, deadline, body) instanceof CopyResult.Whole)) {
      return ErrorAnswers.unknown("The answer of the other daemon was interrupted.", false);
    }
    Outcome outcome = outcome(head.headers());
    return new Answer.Whole(outcome, head.status(), head.headers(), body.toByteArray());
  }

  private static Outcome outcome(Map<String, String> headers) {
    return switch (headers.getOrDefault(Answer.OUTCOME_HEADER, "")) {
      case "answered" -> new Outcome.Answered();
      case "not-run" -> new Outcome.NotRun("refused by the other data centre", 1);
      default -> new Outcome.Unknown("the other data centre does not know");
    };
  }

  private CopyResult copy(
      long number, PendingForward pending, Deadline deadline, OutputStream out) {
    long limitBytes = context.settings().limits().answerBytes();
    long copied = 0;
    Message piece = next(pending, deadline);
    while (piece instanceof Message.ForwardChunk chunk) {
      if (copied + chunk.bytes().length > limitBytes) {
        giveUp(number, pending);
        return new CopyResult.Torn(copied, "it is longer than " + limitBytes + " bytes");
      }
      try {
        out.write(chunk.bytes());
        out.flush();
      } catch (IOException e) {
        giveUp(number, pending);
        return new CopyResult.ReceiverGone(copied);
      }
      copied += chunk.bytes().length;
      piece = next(pending, deadline);
    }
    if (piece instanceof Message.ForwardEnd end && end.whole() && end.length() == copied) {
      pendingForwards.remove(number);
      return new CopyResult.Whole(copied);
    }
    giveUp(number, pending);
    return new CopyResult.Torn(copied, "the answer of the other daemon was interrupted");
  }

  private @Nullable Message next(PendingForward pending, Deadline deadline) {
    try {
      long wait = deadline.timeoutMillis(Integer.MAX_VALUE);
      return pending.pieces().poll(wait, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  private void giveUp(long number, PendingForward pending) {
    pendingForwards.remove(number);
    pending.link().send(new Message.ForwardCancel(number));
  }

  /** Queues a piece of an answer; ignores it unless it came over the link of the request. */
  private void onPiece(Link link, long number, Message message) {
    PendingForward pending = pendingForwards.get(number);
    if (pending == null || pending.link() != link) {
      return;
    }
    if (!pending.pieces().offer(message)) {
      pendingForwards.remove(number);
    }
  }

  private void onLinkClosed(Link link) {
    pendingForwards
        .values()
        .forEach(
            pending -> {
              if (pending.link() == link) {
                pending.pieces().offer(new Message.ForwardEnd(0, -1, false));
              }
            });
    String prefix = System.identityHashCode(link) + "/";
    running.stream().filter(key -> key.startsWith(prefix)).forEach(cancelled::add);
  }

  private static String key(Link link, long number) {
    return System.identityHashCode(link) + "/" + number;
  }

  private void cancel(Link link, long number) {
    String key = key(link, number);
    if (running.contains(key)) {
      cancelled.add(key);
    }
  }

  private void onForward(Link link, Message.Forward forward) {
    running.add(key(link, forward.number()));
    context.executor().execute(() -> run(link, forward));
  }

  private void run(Link link, Message.Forward forward) {
    String key = key(link, forward.number());
    if (!inFlight.tryEnter()) {
      running.remove(key);
      write(link, forward.number(), ErrorAnswers.unavailable("The daemon is stopping.", 1));
      return;
    }
    try {
      write(link, forward.number(), answer(forward));
    } finally {
      inFlight.exit();
      running.remove(key);
      cancelled.remove(key);
    }
  }

  /** Runs a forwarded request; the other daemon would wait for nothing if that failed silently. */
  private Answer answer(Message.Forward forward) {
    try {
      Purpose purpose = Purpose.valueOf(forward.headers().get("purpose"));
      return runner.apply(request(forward), purpose);
    } catch (RuntimeException e) {
      LOG.error("A forwarded request ended by a fault of this daemon.", e);
      return ErrorAnswers.unknown("A fault of the daemon ended the request.", false);
    }
  }

  private CallerRequest request(Message.Forward forward) {
    Map<String, String> headers = forward.headers();
    String key = headers.getOrDefault("key", "");
    return new CallerRequest(
        headers.getOrDefault("id", ""),
        forward.workspace(),
        RequestClass.parse(headers.getOrDefault("class", "")).orElse(RequestClass.STANDARD),
        Deadline.in(context.nanoClock(), forward.remainingMillis()),
        Boolean.parseBoolean(headers.get("unsafe")),
        key.isEmpty() ? null : key,
        forward.method(),
        forward.path(),
        headers.getOrDefault("type", "application/json"),
        forward.body(),
        true);
  }

  private void write(Link link, long number, Answer answer) {
    link.send(new Message.ForwardHead(number, answer.status(), answer.headers()));
    if (answer instanceof Answer.Whole whole) {
      link.send(new Message.ForwardChunk(number, whole.body()));
      link.send(new Message.ForwardEnd(number, whole.body().length, true));
      return;
    }
    LinkOutput out = new LinkOutput(link, number);
    CopyResult result = ((Answer.Streamed) answer).body().copyTo(out);
    link.send(new Message.ForwardEnd(number, out.written, result instanceof CopyResult.Whole));
  }

  /** Sends the written bytes over a link as pieces of an answer. */
  private final class LinkOutput extends OutputStream {

    private final Link link;
    private final long number;
    private long written;

    LinkOutput(Link link, long number) {
      this.link = link;
      this.number = number;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] buffer, int offset, int length) throws IOException {
      byte[] piece = Arrays.copyOfRange(buffer, offset, offset + length);
      boolean gone = cancelled.contains(key(link, number));
      if (gone || !link.send(new Message.ForwardChunk(number, piece))) {
        throw new IOException(
            "The daemon that forwarded the request cancelled it or is not linked.");
      }
      written += length;
    }
  }

  /**
   * Returns the data centres that this daemon has links to.
   *
   * @return the names of the data centres
   */
  public List<String> reachable() {
    return peers.links().stream().map(link -> link.peer().dataCentre()).distinct().toList();
  }
}
