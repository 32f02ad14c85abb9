package org.fawnvale.soak;

import java.util.Random;

/** A fault that is injected into a run. */
@FunctionalInterface
interface Trouble {

  /**
   * Injects the fault and schedules its end.
   *
   * @param world the parts of the run that the fault may act on
   * @param draws the source of the fault's parameters
   * @return a description with the chosen parameters, for the history
   */
  String strike(World world, Random draws);
}
