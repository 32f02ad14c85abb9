package org.fawnvale.standins;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** Processes that are cut off from all workers, while everything else still reaches them. */
public final class WorkerCuts {

  /** How a process loses its path to the workers. */
  public enum Cut {
    /** Its connections hang, also new ones. */
    HANG,
    /** Its connections are reset, also new ones once they carry a request. */
    RESET,
    /** Its open connections go on; new ones are reset before they carry a request. */
    REFUSED_NEW
  }

  private final Map<Long, Cut> cuts = new ConcurrentHashMap<>();
  private final CallerProcesses processes = new CallerProcesses();

  /**
   * Cuts a process off from all workers, not from the store.
   *
   * @param pid the process id
   * @param cut how its path fails
   */
  public synchronized void begin(long pid, Cut cut) {
    cuts.put(pid, cut);
  }

  /**
   * Ends the cut of a process.
   *
   * @param pid the process id
   */
  public synchronized void end(long pid) {
    cuts.remove(pid);
    notifyAll();
  }

  /** Returns how the caller of a connection is cut off; null if it is not. */
  @Nullable Cut of(AcceptedConnection connection) throws IOException {
    return cuts.isEmpty() ? null : cuts.get(connection.process(processes));
  }

  /**
   * Returns normally for a caller that reaches the worker. For one that is cut off, waits until the
   * cut ends if its connections hang, and fails: what was under way is lost.
   */
  void pass(AcceptedConnection connection) throws IOException {
    Cut cut = of(connection);
    if (cut == null || cut == Cut.REFUSED_NEW) {
      return;
    }
    if (cut == Cut.HANG) {
      awaitEnd(connection);
    }
    throw new IOException("the caller is cut off");
  }

  private synchronized void awaitEnd(AcceptedConnection connection) throws IOException {
    try {
      while (of(connection) != null) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Returns a stream to a caller that fails like the caller's path. */
  OutputStream guard(OutputStream out, AcceptedConnection connection) {
    return new FilterOutputStream(out) {
      @Override
      public void write(byte[] bytes, int offset, int length) throws IOException {
        pass(connection);
        out.write(bytes, offset, length);
      }
    };
  }
}
