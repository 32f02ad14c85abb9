package org.fawnvale.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Spoils a response in one place of its head, or in the size of its first chunk, so that it is no
 * HTTP/1.1 any more. Its body is not the one that was asked for: whoever takes it, shows it.
 */
final class SpoiltAnswer {

  /** How long a connection is kept behind a spoilt response before it ends, in milliseconds. */
  private static final long KEPT_MILLIS = 300;

  private static final String WRONG_EVENT = "id: 1\ndata: spoilt\n\n";
  private static final String ODD_CHARACTERS = " \t\u0001\u001f\u007f\u0080/(";
  private static final List<String> ODD_STATUSES =
      List.of("000", "099", "600", "999", "20", "2000");
  private static final String LENGTH = "Content-Length: ";
  private static final String CODING = "Transfer-Encoding: chunked";

  private static final int NONE = -1;

  private SpoiltAnswer() {}

  /** Ways to spoil a head; each returns the lines, spoilt. */
  private enum Way {
    ODD_NAME,
    ODD_FRAMING_NAME,
    FOLDED_FRAMING,
    ODD_FRAMING,
    ODD_STATUS,
    BLANK_BEFORE_COLON,
    CONTROL_CHARACTER,
    ODD_CHUNK_SIZE
  }

  /** Sends a spoilt form of a response and ends the connection; never returns normally. */
  static void send(Reply reply, AcceptedConnection connection) throws IOException {
    byte[] bytes = spoilt(reply).getBytes(StandardCharsets.ISO_8859_1);
    if (ThreadLocalRandom.current().nextBoolean()) {
      connection.endWith(bytes);
    } else {
      connection.endLater(bytes, KEPT_MILLIS);
    }
    throw new IOException("the response is spoilt");
  }

  /** Returns a response that breaks the grammar in one place, with a body that is not its own. */
  static String spoilt(Reply reply) {
    List<String> lines = new ArrayList<>(List.of(CutAnswer.headOf(reply).split("\r\n")));
    Way way = Way.values()[random(Way.values().length)];
    if (way == Way.ODD_CHUNK_SIZE) {
      lines.removeIf(line -> line.startsWith(LENGTH) || line.startsWith(CODING));
      lines.add(CODING);
      return join(lines) + oddChunks();
    }
    spoil(lines, way);
    return join(lines) + wrongBody(reply);
  }

  private static String join(List<String> lines) {
    return String.join("\r\n", lines) + "\r\n\r\n";
  }

  private static void spoil(List<String> lines, Way drawn) {
    int framing = framingLine(lines);
    boolean needsFraming = drawn == Way.ODD_FRAMING_NAME || drawn == Way.ODD_FRAMING;
    Way way = framing == NONE && needsFraming ? Way.ODD_NAME : drawn;
    int field = 1 + random(lines.size() - 1);
    String line = lines.get(field);
    switch (way) {
      case ODD_FRAMING_NAME -> lines.set(framing, lines.get(framing).replaceFirst("-", odd()));
      case FOLDED_FRAMING -> {
        int folded = framing == NONE ? lines.size() - 1 : framing;
        lines.set(folded, " " + lines.get(folded));
      }
      case ODD_FRAMING -> lines.set(framing, lines.get(framing).replaceFirst(": ", ": +"));
      case ODD_STATUS ->
          lines.set(0, "HTTP/1.1 " + ODD_STATUSES.get(random(ODD_STATUSES.size())) + " Odd");
      case BLANK_BEFORE_COLON -> lines.set(field, line.replaceFirst(":", " :"));
      case CONTROL_CHARACTER -> lines.set(field, line + "\u0001");
      default -> lines.add(field, "X" + odd() + "Tone: 1");
    }
  }

  /** Returns the line that frames the body; {@link #NONE} if its connection ends it. */
  private static int framingLine(List<String> lines) {
    for (int index = 1; index < lines.size(); index++) {
      if (lines.get(index).startsWith(LENGTH) || lines.get(index).startsWith(CODING)) {
        return index;
      }
    }
    return NONE;
  }

  private static String odd() {
    return String.valueOf(ODD_CHARACTERS.charAt(random(ODD_CHARACTERS.length())));
  }

  private static String wrongBody(Reply reply) {
    byte[] body = reply.body();
    if (body != null) {
      return "s".repeat(body.length);
    }
    return reply.endsWithConnection()
        ? WRONG_EVENT
        : Integer.toHexString(WRONG_EVENT.length()) + "\r\n" + WRONG_EVENT + "\r\n0\r\n\r\n";
  }

  private static String oddChunks() {
    String size = Integer.toHexString(WRONG_EVENT.length());
    String spoilt = random(2) == 0 ? "+" + size : size + odd() + "1";
    return spoilt + "\r\n" + WRONG_EVENT + "\r\n0\r\n\r\n";
  }

  private static int random(int bound) {
    return ThreadLocalRandom.current().nextInt(bound);
  }
}
