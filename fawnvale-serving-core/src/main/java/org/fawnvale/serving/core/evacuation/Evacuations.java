package org.fawnvale.serving.core.evacuation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.fawnvale.serving.core.peer.EvacuationState;

/**
 * The data centres that the operator has evacuated, as this daemon knows it. The state comes from
 * the platform's store or from other daemons; the one with the later position applies, whoever
 * reported it. Not thread-safe.
 */
public final class Evacuations {

  /**
   * The most names in one state. Each message between daemons carries the state, and a message is
   * limited to 16 KB; a fleet has a handful of data centres.
   */
  public static final int MAX_NAMES = 32;

  private final boolean enabled;
  private EvacuationState state = EvacuationState.UNKNOWN;
  private final Set<String> returned = new TreeSet<>();
  private final Set<String> reportedUnlisted = new HashSet<>();

  private Evacuations(boolean enabled) {
    this.enabled = enabled;
  }

  /** Creates the evacuations of a platform that has none: no data centre is ever evacuated. */
  public static Evacuations disabled() {
    return new Evacuations(false);
  }

  /**
   * Creates the evacuations of a platform that has them. Until the first state is received, nothing
   * is known, and all data centres count as evacuated.
   */
  public static Evacuations unknown() {
    return new Evacuations(true);
  }

  /**
   * Replaces the state if the received one is later.
   *
   * @param received the state that the store or another daemon reports
   * @return whether the set of evacuated data centres has changed or has become known
   */
  public boolean receive(EvacuationState received) {
    if (!enabled || !received.position().isAfter(state.position())) {
      return false;
    }
    EvacuationState before = state;
    state = received;
    if (before.isKnown() && before.dataCentres().equals(received.dataCentres())) {
      return false;
    }
    before.dataCentres().stream().filter(name -> !isEvacuated(name)).forEach(returned::add);
    returned.removeAll(received.dataCentres());
    reportedUnlisted.retainAll(received.dataCentres());
    return true;
  }

  /**
   * Bounds the names that the store lists to {@link #MAX_NAMES}. Names of known data centres are
   * kept first, because dropping a misspelled name is harmless.
   *
   * @param names the names that the store lists
   * @param listed the names of the data centres of all nodes and daemons
   * @return the names that the daemons observe
   */
  public static Set<String> bounded(Collection<String> names, Collection<String> listed) {
    Comparator<String> listedFirst = Comparator.comparing(name -> !listed.contains(name));
    return names.stream()
        .sorted(listedFirst.thenComparing(Comparator.naturalOrder()))
        .limit(MAX_NAMES)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Tells whether the evacuated data centres are known; true if the platform has none. */
  public boolean isKnown() {
    return !enabled || state.isKnown();
  }

  /**
   * Tells whether a data centre gets no requests.
   *
   * @param dataCentre the name of the data centre
   * @return true while it is evacuated, and while nothing is known: the first state may evacuate it
   */
  public boolean isEvacuated(String dataCentre) {
    return !isKnown() || state.dataCentres().contains(dataCentre);
  }

  /** Tells whether any data centre gets no requests. */
  public boolean isAnyEvacuated() {
    return !isKnown() || !state.dataCentres().isEmpty();
  }

  /** Returns the state that applies, for messages to other daemons. */
  public EvacuationState state() {
    return state;
  }

  /**
   * Returns and forgets the data centres whose evacuation was taken back since the last call. Their
   * upstreams may be cold.
   *
   * @return the names; each return is reported once
   */
  public Set<String> takeReturned() {
    Set<String> taken = Set.copyOf(returned);
    returned.clear();
    return taken;
  }

  /**
   * Returns the evacuated data centres that no node or daemon names. The operator has probably
   * misspelled them.
   *
   * @param listed the names of the data centres of all nodes and daemons
   * @return the names; each is reported once for each evacuation
   */
  public Set<String> takeUnlisted(Collection<String> listed) {
    Set<String> unlisted = new TreeSet<>(state.dataCentres());
    unlisted.removeAll(listed);
    unlisted.removeIf(name -> !reportedUnlisted.add(name));
    return unlisted;
  }
}
