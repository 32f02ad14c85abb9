package org.fawnvale.daemon.gateway;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * Passes on the bytes of a stream of server-sent events and detects whether the last event is whole
 * (WHATWG, Server-sent events, section 9.2.5: an empty line ends an event).
 */
final class EventOutput extends FilterOutputStream {

  private boolean isAtLineBegin = true;
  private boolean isEventOpen;
  private byte last;

  /**
   * Creates an output.
   *
   * @param out receives the bytes
   */
  EventOutput(OutputStream out) {
    super(out);
  }

  /**
   * Returns whether no event is begun, so that another one can follow.
   *
   * @return false if the bytes written end within an event
   */
  boolean isBetweenEvents() {
    return !isEventOpen;
  }

  @Override
  public void write(int value) throws IOException {
    write(new byte[] {(byte) value}, 0, 1);
  }

  @Override
  public void write(byte[] buffer, int offset, int length) throws IOException {
    for (int i = offset; i < offset + length; i++) {
      follow(buffer[i]);
    }
    out.write(buffer, offset, length);
  }

  private void follow(byte next) {
    boolean isSecondOfLineEnd = next == '\n' && last == '\r';
    last = next;
    if (isSecondOfLineEnd) {
      return;
    }
    boolean endsLine = next == '\n' || next == '\r';
    boolean isEmptyLine = endsLine && isAtLineBegin;
    isEventOpen = !isEmptyLine;
    isAtLineBegin = endsLine;
  }
}
