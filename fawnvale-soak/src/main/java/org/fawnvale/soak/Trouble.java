package org.fawnvale.soak;

import java.util.Random;

/** A fault that is done to a run from outside. */
@FunctionalInterface
interface Trouble {

  /**
   * Strikes, and sees to it that it ends.
   *
   * @param world what it may touch
   * @param draws what it draws from
   * @return what was drawn, for the story
   */
  String strike(World world, Random draws);
}
