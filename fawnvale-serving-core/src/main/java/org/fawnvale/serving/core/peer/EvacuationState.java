package org.fawnvale.serving.core.peer;

import java.util.Set;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * Which data centres are evacuated, as a daemon knows it. Daemons exchange it with their messages;
 * the one with the later position replaces the other.
 *
 * @param position the position in the store's history that the state reflects; {@link
 *     StorePosition#NONE} when the daemon has no information
 * @param dataCentres the names of the evacuated data centres
 */
public record EvacuationState(StorePosition position, Set<String> dataCentres) {

  /** The state of a daemon that has no information. */
  public static final EvacuationState UNKNOWN = new EvacuationState(StorePosition.NONE, Set.of());

  /** Tells whether the daemon has any information. */
  public boolean isKnown() {
    return position.isKnown();
  }
}
