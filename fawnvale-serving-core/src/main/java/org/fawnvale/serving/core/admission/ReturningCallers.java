package org.fawnvale.serving.core.admission;

/**
 * Decides where callers are admitted that were refused before, while not all requests for their
 * model are admitted. They are late in most cases, and each of them takes the time of a first
 * attempt that could be in time; but a second refusal loses them, and a first attempt that is
 * refused may still return.
 */
@FunctionalInterface
public interface ReturningCallers {

  /**
   * The cost of a head that has room: an event takes less than a third of its target. A returning
   * caller delays nobody there.
   */
  double ROOM = 0.3;

  /** Admits returning callers up to the old bound, whatever the level. */
  ReturningCallers OLD_BOUND = share -> ForecastTarget.ANY_HEAD;

  /**
   * Admits returning callers up to the old bound if all first attempts of their urgency are
   * admitted, and elsewhere where there is room. Loses more of them than {@link #OLD_BOUND}, and
   * answers more first attempts in time. Used by the simulation only, to compare both.
   */
  ReturningCallers ROOM_UNLESS_WHOLE = share -> share >= 1 ? ForecastTarget.ANY_HEAD : ROOM;

  /**
   * Returns the limit for a returning caller.
   *
   * @param share the admitted share of first attempts of its urgency, 0 to 1
   * @return the largest cost of a head, as {@link ForecastTarget#limit}
   */
  double limit(double share);
}
