package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;

/** Guards against answers to the balancer, to metrics and to peers that are cut for more room. */
class SimpleResponseHandlerTest {

  @Test
  void connectionDoesNotGiveWayBeforeItsAnswerIsWritten() {
    AtomicInteger closed = new AtomicInteger();
    CallerMemory memory = new CallerMemory(Settings.CallerBuffers.DEFAULT);
    CallerHolding holding = memory.open(closed::incrementAndGet, 0);
    SimpleResponseHandler handler =
        new SimpleResponseHandler(
            new Object(), target -> new SimpleResponseHandler.Response(200, new byte[] {1}));
    handler.connected(() -> {}, holding);
    assertThat(holding.closeUnlessServed()).isFalse();
    handler.releaseResources();
    assertThat(holding.closeUnlessServed()).isTrue();
    assertThat(closed).hasValue(1);
  }
}
