package org.fawnvale.serving.http;

import java.nio.ByteBuffer;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.jspecify.annotations.Nullable;

/** A call whose response is buffered and delivered as a whole; it fails when its timeout passes. */
public final class BufferedCall implements ClientListener {

  /**
   * The longest answer of the store or of a peer, in bytes: four times the largest page and the
   * largest object of the store.
   */
  static final int MAX_PAGE_BYTES = 4 << 20;

  private final Runnable onTimeout;
  private final Consumer<Reply> done;
  private final AnswerBody body;
  private @Nullable HttpResponse head;
  private @Nullable ClientExchange exchange;
  private @Nullable ScheduledFuture<?> timeout;
  private boolean completed;

  /** The result of a call. */
  public sealed interface Reply {}

  /**
   * A complete response.
   *
   * @param head the status and headers
   * @param body the body; may be empty
   */
  public record Answered(HttpResponse head, byte[] body) implements Reply {

    /**
     * Returns the HTTP status of the response.
     *
     * @return the status code
     */
    public int status() {
      return head.getCode();
    }
  }

  /**
   * No complete response.
   *
   * @param failure the reason
   * @param cutShort whether the answer had begun and went beyond the bytes or the time of the call.
   *     The same call would probably fail again
   */
  public record Failed(ClientListener.Failure failure, boolean cutShort) implements Reply {

    Failed(ClientListener.Failure failure) {
      this(failure, false);
    }
  }

  private BufferedCall(AnswerBody body, Runnable onTimeout, Consumer<Reply> done) {
    this.body = body;
    this.onTimeout = onTimeout;
    this.done = done;
  }

  /**
   * Sends a call.
   *
   * @param client sends the request
   * @param timers runs the timeout
   * @param endpoint the address to send to
   * @param call the request
   * @param timeoutMillis the timeout in milliseconds
   * @param done called once with the result, with the daemon's lock held
   */
  public static void send(
      HttpClient client,
      Timers timers,
      Endpoint endpoint,
      Call call,
      long timeoutMillis,
      Consumer<Reply> done) {
    Sender plain =
        (request, body, listener) -> client.send(endpoint, request, body, () -> true, listener);
    send(
        plain, new AnswerBody(MAX_PAGE_BYTES), client, timers, endpoint, call, timeoutMillis, done);
  }

  /** Sends the request of a call. */
  @FunctionalInterface
  interface Sender {

    /**
     * Sends a request.
     *
     * @param request the request line and headers
     * @param body the body; may be empty
     * @param listener receives the response
     * @return the exchange, which can be cancelled
     */
    ClientExchange send(BasicHttpRequest request, byte[] body, ClientListener listener);
  }

  static void send(
      Sender sender,
      AnswerBody body,
      HttpClient client,
      Timers timers,
      Endpoint endpoint,
      Call call,
      long timeoutMillis,
      Consumer<Reply> done) {
    BasicHttpRequest request = new BasicHttpRequest(call.method(), null, null, call.target());
    request.addHeader(HttpHeaders.HOST, endpoint.toString());
    call.headers().forEach(request::addHeader);
    BufferedCall bufferedCall = new BufferedCall(body, () -> client.closeIdle(endpoint), done);
    bufferedCall.timeout = timers.after(timeoutMillis, bufferedCall::timeOut);
    bufferedCall.exchange = sender.send(request, call.body(), bufferedCall);
  }

  private void timeOut() {
    ClientExchange running = exchange;
    if (!completed && running != null) {
      boolean connected = running.isConnected();
      running.cancel();
      onTimeout.run();
      complete(new Failed(connected ? Failure.SILENT : Failure.UNREACHABLE, head != null));
    }
  }

  private void complete(Reply reply) {
    if (completed) {
      return;
    }
    completed = true;
    ScheduledFuture<?> timer = timeout;
    if (timer != null) {
      timer.cancel(false);
    }
    done.accept(reply);
  }

  @Override
  public void head(HttpResponse response) {
    head = response;
  }

  @Override
  public void data(ByteBuffer data) {
    if (!body.add(data)) {
      ClientExchange running = exchange;
      if (running != null) {
        running.cancel();
      }
      complete(new Failed(Failure.BROKEN, true));
    }
  }

  @Override
  public void end() {
    HttpResponse response = head;
    if (response != null) {
      complete(new Answered(response, body.toByteArray()));
    }
  }

  @Override
  public void failed(Failure failure, Exception cause) {
    complete(new Failed(failure));
  }
}
