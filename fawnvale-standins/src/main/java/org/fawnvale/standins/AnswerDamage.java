package org.fawnvale.standins;

/**
 * What happens to the answers of a worker, as shares from 0 to 1.
 *
 * @param cut the share of the answers that the end of their connection cuts, at a random byte of
 *     the head, of a chunk's size or of the last chunk
 * @param spoilt the share of the answers that are spoilt in one place of the head, or in the size
 *     of a chunk
 * @param promised the share of the plain requests that are answered, once they have run, with a
 *     status that says that they have not
 */
public record AnswerDamage(double cut, double spoilt, double promised) {

  /** Returns damage that cuts answers alone. */
  public static AnswerDamage cutting(double share) {
    return new AnswerDamage(share, 0, 0);
  }

  /** Returns damage that spoils answers, and promises falsely. */
  public static AnswerDamage spoiling(double spoiltShare, double promisedShare) {
    return new AnswerDamage(0, spoiltShare, promisedShare);
  }
}
