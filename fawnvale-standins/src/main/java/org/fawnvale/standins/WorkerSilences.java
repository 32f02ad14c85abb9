package org.fawnvale.standins;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Workers that stand still for some time: they answer no call and write nothing, while their
 * connections stay open and the operating system accepts new ones. Afterwards everything continues
 * from where it was. Workers whose streams alone stand still answer calls all the while.
 */
public final class WorkerSilences {

  private final Map<String, Long> untilNanos = new HashMap<>();

  /** Until when the streams of workers that answer calls stand still. */
  private final Map<String, Long> streamsUntilNanos = new HashMap<>();

  /**
   * Makes workers stand still from now on. A worker that stands still already does so until the
   * later of the two ends.
   *
   * @param workers the workers' ids
   * @param millis how long, in milliseconds
   */
  public synchronized void begin(Collection<String> workers, long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    workers.forEach(
        worker -> untilNanos.merge(worker, until, (one, other) -> one - other > 0 ? one : other));
  }

  /**
   * Makes the streams of workers stand still from now on, while the workers answer calls.
   *
   * @param workers the workers' ids
   * @param millis how long, in milliseconds
   */
  public synchronized void holdStreams(Collection<String> workers, long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    workers.forEach(
        worker ->
            streamsUntilNanos.merge(worker, until, (one, other) -> one - other > 0 ? one : other));
  }

  /** Ends the silence of a worker and of its streams early. */
  synchronized void end(String worker) {
    untilNanos.remove(worker);
    streamsUntilNanos.remove(worker);
    notifyAll();
  }

  /** Returns how much longer a worker stands still, in milliseconds, rounded up; 0 if it works. */
  synchronized long remainingMillis(String worker) {
    return remainingMillis(untilNanos, worker);
  }

  private static long remainingMillis(Map<String, Long> untilNanos, String worker) {
    Long until = untilNanos.get(worker);
    long remaining = until == null ? 0 : until - System.nanoTime();
    if (remaining <= 0) {
      untilNanos.remove(worker);
      return 0;
    }
    return TimeUnit.NANOSECONDS.toMillis(remaining) + 1;
  }

  private synchronized long remainingOfStreamMillis(String worker) {
    return Math.max(
        remainingMillis(untilNanos, worker), remainingMillis(streamsUntilNanos, worker));
  }

  private void awaitEnd(String worker) throws IOException {
    await(() -> remainingMillis(worker));
  }

  private void awaitEndOfStream(String worker) throws IOException {
    await(() -> remainingOfStreamMillis(worker));
  }

  private synchronized void await(LongSupplier remaining) throws IOException {
    try {
      for (long rest = remaining.getAsLong(); rest > 0; rest = remaining.getAsLong()) {
        wait(rest);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Returns a handler that takes no call, answers none, writes and ends nothing in a silence. */
  StandInServer.Handler guard(String worker, StandInServer.Handler handler) {
    return call -> {
      awaitEnd(worker);
      try {
        return handler.handle(call).through(stream -> guardStream(worker, stream));
      } finally {
        awaitEnd(worker);
      }
    };
  }

  private Reply.Stream guardStream(String worker, Reply.Stream stream) {
    return out -> {
      try {
        stream.writeTo(guardOutput(worker, out));
      } finally {
        awaitEndOfStream(worker);
      }
    };
  }

  private OutputStream guardOutput(String worker, OutputStream out) {
    return new FilterOutputStream(out) {
      @Override
      public void write(byte[] bytes, int offset, int length) throws IOException {
        awaitEndOfStream(worker);
        out.write(bytes, offset, length);
      }
    };
  }
}
