package org.fawnvale.soak;

import java.util.Random;

/** A fault that is injected into a run. */
@FunctionalInterface
interface Fault {

  /**
   * Injects the fault and schedules its end.
   *
   * @param context the parts of the run that the fault may act on
   * @param random the source of the fault's parameters
   * @return a description with the chosen parameters, for the history
   */
  String inject(FaultContext context, Random random);
}
