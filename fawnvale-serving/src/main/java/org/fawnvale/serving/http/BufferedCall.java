package org.fawnvale.serving.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.jspecify.annotations.Nullable;

/** A call whose answer is read as a whole, or not at all within its time. */
public final class BufferedCall implements ClientListener {

  private final Runnable noAnswer;
  private final Consumer<Reply> done;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpResponse head;
  private @Nullable ClientExchange exchange;
  private @Nullable ScheduledFuture<?> timeout;
  private boolean over;

  /** What came of a call. */
  public sealed interface Reply {}

  /**
   * An answer.
   *
   * @param head its head
   * @param body its body
   */
  public record Answered(HttpResponse head, byte[] body) implements Reply {

    /**
     * The status of the answer.
     *
     * @return the status
     */
    public int status() {
      return head.getCode();
    }
  }

  /**
   * No answer.
   *
   * @param failure how it failed; {@link ClientListener.Failure#BROKEN} also when time ran out
   */
  public record Failed(ClientListener.Failure failure) implements Reply {}

  private BufferedCall(Runnable noAnswer, Consumer<Reply> done) {
    this.noAnswer = noAnswer;
    this.done = done;
  }

  /**
   * Sends a call.
   *
   * @param client sends it
   * @param timers bounds its time
   * @param endpoint where to
   * @param call the call
   * @param timeoutMillis its time, in milliseconds
   * @param done told once what came of it, while the guard is held
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
    send(plain, client, timers, endpoint, call, timeoutMillis, done);
  }

  /** Puts a request on its way. */
  @FunctionalInterface
  interface Sender {

    /**
     * Sends a request.
     *
     * @param request its head
     * @param body its body
     * @param listener told of the answer
     * @return the exchange, which can be cancelled
     */
    ClientExchange send(BasicHttpRequest request, byte[] body, ClientListener listener);
  }

  static void send(
      Sender sender,
      HttpClient client,
      Timers timers,
      Endpoint endpoint,
      Call call,
      long timeoutMillis,
      Consumer<Reply> done) {
    BasicHttpRequest request = new BasicHttpRequest(call.method(), call.target());
    request.addHeader(HttpHeaders.HOST, endpoint.toString());
    call.headers().forEach(request::addHeader);
    BufferedCall whole = new BufferedCall(() -> client.closeIdle(endpoint), done);
    whole.timeout = timers.after(timeoutMillis, whole::expire);
    whole.exchange = sender.send(request, call.body(), whole);
  }

  private void expire() {
    ClientExchange running = exchange;
    if (!over && running != null) {
      running.cancel();
      noAnswer.run();
      conclude(new Failed(Failure.BROKEN));
    }
  }

  private void conclude(Reply reply) {
    if (over) {
      return;
    }
    over = true;
    ScheduledFuture<?> timer = timeout;
    if (timer != null) {
      timer.cancel(false);
    }
    done.accept(reply);
  }

  @Override
  public void head(HttpResponse answer) {
    head = answer;
  }

  @Override
  public void data(ByteBuffer data) {
    byte[] part = new byte[data.remaining()];
    data.get(part);
    body.writeBytes(part);
  }

  @Override
  public void end() {
    HttpResponse answer = head;
    if (answer != null) {
      conclude(new Answered(answer, body.toByteArray()));
    }
  }

  @Override
  public void failed(Failure failure, Exception cause) {
    conclude(new Failed(failure));
  }
}
