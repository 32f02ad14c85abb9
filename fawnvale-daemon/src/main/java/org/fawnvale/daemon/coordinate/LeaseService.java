package org.fawnvale.daemon.coordinate;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.kernel.Service;
import org.fawnvale.platform.ObjectStore;

/** Keeps the lease of this daemon's data centre, or tries to acquire it, until the daemon stops. */
public final class LeaseService implements Service {

  private static final Logger LOG = LogManager.getLogger("lease");
  private static final int RENEWALS_PER_DURATION = 3;
  private static final int ATTEMPTS_PER_DURATION = 6;

  private final Context context;
  private final LeaseManager manager;
  private volatile boolean stopped;

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param store the platform's object store
   */
  public LeaseService(Context context, ObjectStore store) {
    this.context = context;
    this.manager =
        new LeaseManager(
            store,
            ObjectNames.lease(context.identity().dataCentre()),
            context.holder(),
            context.settings().timing().leaseMillis(),
            context.nanoClock());
  }

  @Override
  public void start() {
    context.executor().execute(this::loop);
  }

  @Override
  public void stop() {
    stopped = true;
    synchronized (manager) {
      manager.release();
    }
  }

  /**
   * Returns whether this daemon holds the lease for more than the given time from now.
   *
   * @param marginMillis the remaining time that is needed, in milliseconds
   * @return true when the remaining time is longer
   */
  public boolean isHeldFor(long marginMillis) {
    return manager.isHeldFor(marginMillis);
  }

  /**
   * Returns the epoch of the lease that this daemon holds.
   *
   * @return the epoch; empty when this daemon does not hold the lease
   */
  public Optional<Long> epoch() {
    return manager.epoch();
  }

  /**
   * Returns for how long this daemon has held the lease.
   *
   * @return milliseconds; 0 when this daemon does not hold it
   */
  public long heldMillis() {
    return manager.heldMillis();
  }

  private void loop() {
    long duration = context.settings().timing().leaseMillis();
    while (!stopped) {
      step();
      long pause =
          duration / (manager.heldAtLastStep() ? RENEWALS_PER_DURATION : ATTEMPTS_PER_DURATION);
      sleep(pause + ThreadLocalRandom.current().nextLong(1 + pause / 8));
    }
  }

  private void step() {
    synchronized (manager) {
      if (stopped) {
        return;
      }
      try {
        manager.step();
      } catch (IllegalStateException e) {
        LOG.error(
            "{} Repair the object by hand; no replicas are planned until then.", e.getMessage());
      }
    }
  }

  private void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }
}
