package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against forwarding incomplete events when the stream arrives in arbitrary parts. */
class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  private String add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return new String(splitter.add(ByteBuffer.wrap(bytes)), StandardCharsets.UTF_8);
  }

  @Test
  void completeEventIsForwarded() {
    assertThat(add("id: 1\ndata: x\n\n")).isEqualTo("id: 1\ndata: x\n\n");
    assertThat(splitter.lastId()).isEqualTo("1");
  }

  @Test
  void partialEventIsHeldUntilItIsComplete() {
    assertThat(add("id: 1\nda")).isEmpty();
    assertThat(splitter.lastId()).isNull();
    assertThat(add("ta: x\n\nid: 2\n")).isEqualTo("id: 1\ndata: x\n\n");
    assertThat(splitter.lastId()).isEqualTo("1");
  }

  @Test
  void everySplitGivesTheSameEvents() {
    String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 33\ndata: c\n\n";
    for (int split = 0; split <= stream.length(); split++) {
      EventSplitter fresh = new EventSplitter();
      String joined =
          text(fresh, stream.substring(0, split)) + text(fresh, stream.substring(split));
      assertThat(joined).isEqualTo(stream);
      assertThat(fresh.lastId()).isEqualTo("33");
    }
  }

  private static String text(EventSplitter splitter, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
    return new String(splitter.add(ByteBuffer.wrap(bytes)), StandardCharsets.UTF_8);
  }

  @Test
  void partialEventIsDiscardedBeforeTheStreamResumesElsewhere() {
    add("id: 1\ndata: x\n\nid: 2\ndata: ha");
    splitter.discardPartial();
    assertThat(add("id: 2\ndata: whole\n\n")).isEqualTo("id: 2\ndata: whole\n\n");
    assertThat(splitter.lastId()).isEqualTo("2");
  }
}
