package org.fawnvale.standins;

import java.io.IOException;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

/** A connection that a worker has accepted. The process at its caller's end is searched once. */
final class AcceptedConnection {

  private final Socket socket;
  private final Connection ends;
  private volatile @Nullable Long process;
  private byte @Nullable [] tooMany;

  AcceptedConnection(Socket socket) {
    this.socket = socket;
    this.ends = Connection.of(socket);
  }

  /** Returns the id of the process at the caller's end. */
  long process(CallerProcesses processes) throws IOException {
    Long known = process;
    if (known == null) {
      known = processes.of(ends);
      process = known;
    }
    return known;
  }

  /** Keeps a response that is sent again when the next request has come. */
  void sendLater(byte[] response) {
    tooMany = response;
  }

  /** Sends the response that was kept, if any. */
  void sendKept() throws IOException {
    byte[] kept = tooMany;
    if (kept != null) {
      tooMany = null;
      socket.getOutputStream().write(kept);
    }
  }

  /** Sends the last bytes of the connection and ends its sending side in order. */
  void endWith(byte[] lastBytes) throws IOException {
    socket.getOutputStream().write(lastBytes);
    socket.shutdownOutput();
  }

  /** Sends the last bytes of the connection and ends its sending side in order some time later. */
  void endLater(byte[] lastBytes, long afterMillis) throws IOException {
    socket.getOutputStream().write(lastBytes);
    Platform.pause(afterMillis);
    socket.shutdownOutput();
  }

  /** Returns whether the sending side has ended in order. */
  boolean hasEndedSending() {
    return socket.isOutputShutdown();
  }

  boolean isClosed() {
    return socket.isClosed();
  }

  /** Closes the connection so that its caller sees that it was not ended in order. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
