package org.fawnvale.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Guards against decoding truncated frames, and against other errors on corrupted ones. */
class FrameFuzzTest {

  private final FrameCodec codec = FrameCodec.withLimit(64 * 1024);

  @Property(tries = 500, seed = "20261202")
  void truncatedFramesAreNeverDecoded(
      @ForAll("messages") List<Message> messages, @ForAll @IntRange(max = 5000) int cut)
      throws IOException {
    byte[] bytes = write(messages);
    int length = Math.min(cut, bytes.length);
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 0, length));
    List<Message> read = new ArrayList<>();
    boolean truncated = false;
    try {
      for (Message next = codec.read(in); next != null; next = codec.read(in)) {
        read.add(next);
      }
    } catch (FrameException e) {
      truncated = true;
    }
    assertThat(encoded(read)).isEqualTo(encoded(messages.subList(0, read.size())));
    assertThat(truncated || write(read).length == length).isTrue();
  }

  @Property(tries = 1000, seed = "20261202")
  void corruptedFramesFailWithFrameException(
      @ForAll("messages") List<Message> messages,
      @ForAll @IntRange(max = 5000) int index,
      @ForAll byte value)
      throws IOException {
    byte[] bytes = write(messages);
    if (bytes.length == 0) {
      return;
    }
    bytes[index % bytes.length] = value;
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      Message next = codec.read(in);
      while (next != null) {
        next = codec.read(in);
      }
    } catch (FrameException e) {
      assertThat(e).hasMessageNotContaining("null");
    }
  }

  private byte[] write(List<Message> messages) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (Message message : messages) {
      codec.write(codec.encode(message), out);
    }
    return bytes.toByteArray();
  }

  private List<List<Byte>> encoded(List<Message> messages) throws IOException {
    List<List<Byte>> all = new ArrayList<>();
    for (Message message : messages) {
      List<Byte> bytes = new ArrayList<>();
      for (byte each : codec.encode(message)) {
        bytes.add(each);
      }
      all.add(bytes);
    }
    return all;
  }

  @Provide
  Arbitrary<List<Message>> messages() {
    Arbitrary<Long> number = Arbitraries.longs();
    Arbitrary<String> text = Arbitraries.strings().alpha().ofMaxLength(20);
    Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(200);
    Arbitrary<Message> heartbeats =
        Combinators.combine(number, number, number, Arbitraries.integers().array(int[].class))
            .as((stamp, echo, version, loads) -> new Message.Beat(stamp, echo, version, 3, loads));
    Arbitrary<Message> chunks = Combinators.combine(number, bytes).as(Message.ForwardChunk::new);
    Arbitrary<Message> replies =
        Combinators.combine(number, text, text.injectNull(0.3)).as(Message.ClaimReply::new);
    Arbitrary<Message> heads =
        Combinators.combine(number, text, text)
            .as((n, key, value) -> new Message.ForwardHead(n, 200, Map.of(key, value)));
    Arbitrary<Message> vouches =
        Combinators.combine(number, text, text.injectNull(0.3))
            .as(
                (n, node, replica) ->
                    new Message.Vouches(
                        n,
                        List.of(new Message.Vouch(node, "1", replica, n, replica, null, "READY")),
                        List.of(node)));
    return Arbitraries.oneOf(heartbeats, chunks, replies, heads, vouches).list().ofMaxSize(8);
  }
}
