package org.fawnvale.serving.core.peer;

import java.util.List;

/**
 * What a daemon reports about its path to the upstreams that form groups.
 *
 * @param doubtful whether it hears none of them and asks which ones others hear
 * @param heard ids of the upstreams that it has heard within the last {@link #HEARD_MILLIS}; empty
 *     unless a daemon asks
 */
public record PathReport(boolean doubtful, List<String> heard) {

  /** How long ago a reported upstream was heard at most, in milliseconds. */
  public static final int HEARD_MILLIS = 100;

  /** The report of a daemon that doubts nothing and was not asked. */
  public static final PathReport SOUND = new PathReport(false, List.of());
}
