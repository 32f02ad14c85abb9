package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.http.core.MalformedMessageException;
import org.jspecify.annotations.Nullable;

/** Reads the heads of a caller's requests, each once the former request has been answered. */
final class CallerHeads implements NHttpMessageParser<HttpRequest> {

  private static final Logger LOG = LogManager.getLogger("http");

  private final NHttpMessageParser<HttpRequest> heads;
  private final RequestGate gate;
  private final RequestMemory memory;
  private boolean begun;
  private boolean malformed;
  private volatile long sinceNanos;
  private volatile boolean incomplete;

  /** The received bytes, whose lines are counted. */
  private final class CountedLines extends DelegatingInput {

    CountedLines(SessionInputBuffer input) {
      super(input);
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
      boolean complete = super.readLine(line, endOfStream);
      if (complete) {
        memory.addLine(line);
      }
      return complete;
    }
  }

  /**
   * Creates a reader.
   *
   * @param heads reads a head as far as it has arrived
   * @param memory counts what it takes
   */
  CallerHeads(NHttpMessageParser<HttpRequest> heads, RequestGate gate, RequestMemory memory) {
    this.heads = heads;
    this.gate = gate;
    this.memory = memory;
  }

  @Override
  public void reset() {
    heads.reset();
  }

  /**
   * Reads a head as far as it has arrived.
   *
   * @throws ConnectionClosedException if the caller has closed its side behind an unanswered
   *     request, which it has left then
   */
  @Override
  public @Nullable HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    if (!gate.passes(input.length())) {
      if (endOfStream && input.hasData()) {
        throw new ConnectionClosedException("The caller has left before its answer.");
      }
      memory.report(input.length());
      return null;
    }
    if (!begun && input.hasData()) {
      begin();
    }
    HttpRequest head = read(input, endOfStream);
    memory.report(head == null ? input.length() : 0);
    begun &= head == null;
    incomplete = begun;
    return head;
  }

  /** Reads a head; nothing behind one that is no HTTP is a request. */
  private @Nullable HttpRequest read(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    if (malformed) {
      throw new ConnectionClosedException("The caller goes on behind a malformed request.");
    }
    try {
      return heads.parse(new CountedLines(input), endOfStream);
    } catch (MalformedMessageException e) {
      LOG.info("status=400 why={}", e.getMessage());
      malformed = true;
      return new MalformedRequest();
    }
  }

  private void begin() {
    begun = true;
    sinceNanos = System.nanoTime();
    memory.beginHead();
  }

  /** Returns whether a head has taken longer than a limit. Any thread. */
  boolean isLate(RequestLimits limits, long nowNanos) {
    return incomplete && limits.isHeadLate(sinceNanos, nowNanos);
  }
}
