package org.fawnvale.soak;

/** One promise, judged by what callers and workers saw. */
@FunctionalInterface
interface Check {

  /**
   * Judges a run.
   *
   * @param story what was seen
   * @return what came of it
   */
  Verdict judge(Story story);
}
