package org.fawnvale.core.replay;

/** A simulated weight store that serves loads one after the other, first come, first served. */
final class VirtualStore {

  private final double gigabytesPerSecond;
  private double freeAt = Double.NEGATIVE_INFINITY;
  private int loads;

  VirtualStore(double gigabytesPerSecond) {
    this.gigabytesPerSecond = gigabytesPerSecond;
  }

  /** Schedules a load and returns the time at which it completes, seconds. */
  double scheduleLoad(double gigabytes, double now) {
    loads++;
    freeAt = Math.max(freeAt, now) + gigabytes / gigabytesPerSecond;
    return freeAt;
  }

  int loads() {
    return loads;
  }
}
