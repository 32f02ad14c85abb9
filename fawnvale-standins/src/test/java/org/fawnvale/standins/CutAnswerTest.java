package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against cut answers that are whole, or whose bytes a reset takes away. */
class CutAnswerTest {

  private static final int TRIALS = 60;
  private static final String HEAD_END = "\r\n\r\n";
  private static final Reply PLAIN =
      Reply.json(200, Map.of("attempt", "a-1"))
          .with(Map.of("X-Attempt-Id", "a-1", "X-Signature", "pa0"));

  private static String receive(Reply reply) throws IOException {
    try (StandInServer server = StandInServer.start("127.0.0.1", 0, call -> reply);
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static void writeEvents(OutputStream out) throws IOException {
    for (int event = 1; event <= UsersConfiguration.EVENTS; event++) {
      out.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  @Test
  void aPlainAnswerIsCutInItsHead() throws IOException {
    for (int trial = 0; trial < TRIALS; trial++) {
      String received = receive(PLAIN.delivered(Delivery.CUT));
      assertThat(received).isNotEmpty().doesNotContain(HEAD_END);
      assertThat(received.charAt(0)).isEqualTo('H');
    }
  }

  @Test
  void anAnswerWithoutLengthIsCutInItsHead() throws IOException {
    Reply unframed = PLAIN.endingWithConnection();
    assertThat(receive(unframed)).endsWith("}");
    assertThat(receive(unframed.delivered(Delivery.CUT))).isNotEmpty().doesNotContain(HEAD_END);
  }

  @Test
  void aStreamIsCutInItsHeadOrInTheSizeOfAChunkOrInTheLastChunk() throws IOException {
    Reply stream = Reply.events(CutAnswerTest::writeEvents);
    assertThat(receive(stream)).endsWith("\r\n0\r\n\r\n");
    int cutInChunks = 0;
    for (int trial = 0; trial < TRIALS; trial++) {
      String received = receive(stream.delivered(Delivery.CUT));
      assertThat(received).isNotEmpty();
      if (received.contains(HEAD_END)) {
        cutInChunks++;
        String chunks = received.substring(received.indexOf(HEAD_END) + HEAD_END.length());
        String last = chunks.substring(chunks.lastIndexOf("\n\n\r\n") + 1);
        assertThat(last)
            .matches("(?s)(\\n\\r\\n)?0{1,3}([0-9a-f]\\r?)?|(\\n\\r\\n)?0000\\r\\n\\r?");
      }
    }
    assertThat(cutInChunks).isBetween(1, TRIALS - 1);
  }
}
