package org.fawnvale.standins;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** Processes that are cut off from all workers, while everything else still reaches them. */
public final class WorkerCuts {

  private static final long UNCUT = -1;

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
  private final Map<Integer, Long> processByPort = new ConcurrentHashMap<>();

  /**
   * Cuts a process off from all workers, not from the store.
   *
   * @param pid the process id
   * @param cut how its path fails
   */
  public synchronized void begin(long pid, Cut cut) {
    cuts.put(pid, cut);
    processByPort.clear();
  }

  /**
   * Ends the cut of a process.
   *
   * @param pid the process id
   */
  public synchronized void end(long pid) {
    cuts.remove(pid);
    processByPort.clear();
    notifyAll();
  }

  /** Returns how a caller is cut off; null if it is not. */
  @Nullable Cut of(SocketAddress caller) throws IOException {
    if (cuts.isEmpty()) {
      return null;
    }
    int port = ((InetSocketAddress) caller).getPort();
    Long known = processByPort.get(port);
    long process = known == null ? find(port) : known;
    return process == UNCUT ? null : cuts.get(process);
  }

  private long find(int port) throws IOException {
    long found = UNCUT;
    for (long pid : cuts.keySet()) {
      found = LocalPorts.of(pid).contains(port) ? pid : found;
    }
    processByPort.put(port, found);
    return found;
  }

  /**
   * Returns normally for a caller that reaches the worker. For one that is cut off, waits until the
   * cut ends if its connections hang, and fails: what was under way is lost.
   */
  void pass(SocketAddress caller) throws IOException {
    Cut cut = of(caller);
    if (cut == null || cut == Cut.REFUSED_NEW) {
      return;
    }
    if (cut == Cut.HANG) {
      awaitEnd(caller);
    }
    throw new IOException("the caller is cut off");
  }

  private synchronized void awaitEnd(SocketAddress caller) throws IOException {
    try {
      while (of(caller) != null) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Returns a stream to a caller that fails like the caller's path. */
  OutputStream guard(OutputStream out, SocketAddress caller) {
    return new FilterOutputStream(out) {
      @Override
      public void write(byte[] bytes, int offset, int length) throws IOException {
        pass(caller);
        out.write(bytes, offset, length);
      }
    };
  }
}
