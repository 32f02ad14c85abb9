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

/** Holds, or waits for, the lease of this daemon's data centre. */
public final class LeaseService implements Service {

  private static final Logger LOG = LogManager.getLogger("lease");
  private static final int RENEWALS_PER_DURATION = 3;
  private static final int LOOKS_PER_DURATION = 6;

  private final Context context;
  private final LeaseManager keeper;
  private volatile boolean stopped;

  /**
   * Creates the service.
   *
   * @param context what every service needs
   * @param store the platform
   */
  public LeaseService(Context context, ObjectStore store) {
    this.context = context;
    this.keeper =
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
    synchronized (keeper) {
      keeper.release();
    }
  }

  /**
   * Tells whether the lease is held for some time yet.
   *
   * @param marginMillis how long it must still be held, milliseconds
   * @return true when it is
   */
  public boolean isHeldFor(long marginMillis) {
    return keeper.isHeldFor(marginMillis);
  }

  /**
   * The epoch under which this daemon holds the lease.
   *
   * @return the epoch, or nothing when the lease is not held
   */
  public Optional<Long> epoch() {
    return keeper.epoch();
  }

  /**
   * How long this daemon has held the lease.
   *
   * @return milliseconds; 0 when it does not
   */
  public long heldMillis() {
    return keeper.heldMillis();
  }

  private void loop() {
    long duration = context.settings().timing().leaseMillis();
    while (!stopped) {
      step();
      long pause =
          duration / (keeper.believesToHold() ? RENEWALS_PER_DURATION : LOOKS_PER_DURATION);
      sleep(pause + ThreadLocalRandom.current().nextLong(1 + pause / 8));
    }
  }

  private void step() {
    synchronized (keeper) {
      if (stopped) {
        return;
      }
      try {
        keeper.step();
      } catch (IllegalStateException e) {
        LOG.error("{} Mend the object by hand; nothing is coordinated until then.", e.getMessage());
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
