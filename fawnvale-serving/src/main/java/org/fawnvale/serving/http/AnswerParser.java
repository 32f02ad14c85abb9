package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.fawnvale.http.core.HeadCheck;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of the answers on one connection, and passes over whole answers to other
 * requests. The library pairs answers with requests by their order alone, so one answer too many
 * would be taken for the next request, and each later answer for the one after its own.
 */
final class AnswerParser implements NHttpMessageParser<HttpResponse> {

  private final NHttpMessageParser<HttpResponse> heads;
  private final Http1Config config;
  private final InputLimit inputLimit;

  /** The request that was written last and has no whole answer; used by the reactor's thread. */
  private @Nullable ClientExchange unanswered;

  private @Nullable ForeignBody foreignBody;
  private volatile boolean foreignAnswerReceived;

  AnswerParser(Http1Config config, InputLimit inputLimit) {
    this.heads =
        new CompleteHeads<>(
            new DefaultHttpResponseParserFactory(config).create(),
            HeadCheck.ofAnswers(),
            new LineLimit(config));
    this.config = config;
    this.inputLimit = inputLimit;
  }

  /**
   * Sets the request whose answer is due.
   *
   * @param exchange the request; null once its answer is whole
   */
  void setUnanswered(@Nullable ClientExchange exchange) {
    unanswered = exchange;
  }

  /** Returns whether the connection has brought an answer to another request. */
  boolean hasReceivedForeignAnswer() {
    return foreignAnswerReceived;
  }

  @Override
  public void reset() {
    heads.reset();
  }

  @Override
  public @Nullable HttpResponse parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    ClientExchange due = unanswered;
    if (due == null) {
      rejectInput(input);
      return null;
    }
    while (passOver(endOfStream)) {
      HttpResponse head = heads.parse(input, endOfStream);
      if (head == null || isOwn(head, due)) {
        return head;
      }
      heads.reset();
      foreignAnswerReceived = true;
      foreignBody = ForeignBody.of(head, input, config);
    }
    return null;
  }

  private static void rejectInput(SessionInputBuffer input) throws HttpException {
    if (input.hasData()) {
      throw new HttpException("Bytes arrived on a connection while no request was out.");
    }
  }

  private static boolean isOwn(HttpResponse head, ClientExchange due) throws HttpException {
    if (head.getCode() < HttpStatus.SC_SUCCESS) {
      return true;
    }
    return switch (due.match(head)) {
      case OWN -> true;
      case OTHER -> false;
      case UNKNOWN -> throw new HttpException("The answer does not name a request.");
    };
  }

  /**
   * Discards what has arrived of the body of an answer to another request.
   *
   * @return whether all of it was discarded, so that the head of an answer follows
   */
  private boolean passOver(boolean endOfStream) throws IOException, HttpException {
    ForeignBody body = foreignBody;
    if (body == null) {
      return true;
    }
    boolean whole = body.discard();
    inputLimit.passedOver();
    if (whole) {
      foreignBody = null;
    } else if (endOfStream) {
      throw new ConnectionClosedException("The connection ended inside another answer.");
    }
    return whole;
  }
}
