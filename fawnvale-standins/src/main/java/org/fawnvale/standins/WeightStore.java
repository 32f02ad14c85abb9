package org.fawnvale.standins;

import java.util.concurrent.TimeUnit;

/** Simulates the bandwidth of the weight store: loads run one at a time, in order of arrival. */
final class WeightStore {

  private final double gigabytesPerSecond;
  private long freeAtNanos = System.nanoTime();

  WeightStore(double gigabytesPerSecond) {
    this.gigabytesPerSecond = gigabytesPerSecond;
  }

  /** Queues a load and returns the {@link System#nanoTime} at which it ends. */
  synchronized long scheduleLoad(double gigabytes) {
    long now = System.nanoTime();
    long start = Math.max(now, freeAtNanos);
    freeAtNanos = start + (long) (gigabytes / gigabytesPerSecond * TimeUnit.SECONDS.toNanos(1));
    return freeAtNanos;
  }
}
