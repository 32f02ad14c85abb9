package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.jspecify.annotations.Nullable;

/**
 * Handler of a request whose response is known at once, whatever its body holds. Its connection
 * does not give way before the response is written, and then only if its caller does not read.
 */
public abstract class ImmediateExchange implements ServerExchange {

  private ByteBuffer responseBody = ByteBuffer.allocate(0);
  private @Nullable CallerHolding holding;
  private boolean written;
  private volatile boolean ended;

  /** Creates the handler of one request. */
  protected ImmediateExchange() {}

  /**
   * Sets the body of the response, before its head is sent.
   *
   * @param body the body; may be empty
   */
  protected final void setResponseBody(byte[] body) {
    responseBody = ByteBuffer.wrap(body);
  }

  @Override
  public final void connected(Runnable closeConnection, CallerHolding holdingOfConnection) {
    holding = holdingOfConnection;
    holdingOfConnection.beginRequest(System.nanoTime());
  }

  @Override
  public final void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public final void consume(ByteBuffer data) {
    data.position(data.limit());
  }

  @Override
  public final void streamEnd(@Nullable List<? extends Header> trailers) {
    // The request's body is ignored.
  }

  @Override
  public final int available() {
    return responseBody.remaining();
  }

  @Override
  public final void produce(DataStreamChannel channel) throws IOException {
    CallerHolding held = holding;
    if (channel.write(responseBody) > 0 && held != null) {
      held.answered(System.nanoTime());
    }
    if (!responseBody.hasRemaining() && !written) {
      written = true;
      channel.endStream();
    }
  }

  @Override
  public final void failed(Exception cause) {
    end();
  }

  @Override
  public final void releaseResources() {
    end();
  }

  @Override
  public final void callerClosed() {
    end();
  }

  private void end() {
    CallerHolding held = holding;
    if (held != null && !ended) {
      held.endRequest(System.nanoTime());
    }
    ended = true;
  }

  @Override
  public final boolean isResponsePending() {
    return false;
  }

  @Override
  public final boolean isEnded() {
    return ended;
  }
}
