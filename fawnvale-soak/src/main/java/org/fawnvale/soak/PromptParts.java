package org.fawnvale.soak;

import org.jspecify.annotations.Nullable;

/** The prompt parts of the requests of a run, which follow from the request's body. */
final class PromptParts {

  /** The first parts that most requests begin with. */
  private static final int COMMON_PARTS = 3;

  private static final String CRASHING_PREFIX = "crashing_";
  private static final String FIRST = "first";
  private static final String MIDDLE = "middle";

  private PromptParts() {}

  /**
   * Returns the body of a request with a part that crashes workers.
   *
   * @param first whether it is the first part; else it follows the first common one
   * @param number tells the requests with the part apart
   */
  static String crashingBody(String part, boolean first, int number) {
    return CRASHING_PREFIX + part + "_" + (first ? FIRST : MIDDLE) + "_" + number;
  }

  /** Returns the part of a body that crashes workers; null if there is none. */
  static @Nullable String crashingPartOf(String body) {
    return body.startsWith(CRASHING_PREFIX) ? body.split("_")[1] : null;
  }

  /** Returns the first part of the prompt. */
  static String firstPartOf(String body) {
    String crashing = crashingPartOf(body);
    if (crashing == null) {
      return commonPart(Math.floorMod(body.hashCode(), COMMON_PARTS));
    }
    return FIRST.equals(body.split("_")[2]) ? crashing : commonPart(0);
  }

  private static String commonPart(int number) {
    return "c" + number;
  }

  /** Returns the parts as a header value; the last one belongs to the request alone. */
  static String headerOf(String body) {
    String crashing = crashingPartOf(body);
    String first = firstPartOf(body);
    String own = Integer.toHexString(body.hashCode());
    String shared = crashing == null || crashing.equals(first) ? first : first + ":40," + crashing;
    return shared + ":40," + own + ":200";
  }
}
