package org.fawnvale.daemon.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.platform.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * This daemon's copy of the shared objects.
 *
 * <p>An object is replaced only by a higher version of itself, whether it comes from the platform
 * or from a peer, so no object reverts to an earlier state. A new rollout object takes effect only
 * once the bundle of its accepted revision is known.
 */
public final class FleetState {

  private static final Logger LOG = LogManager.getLogger("state");

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final Map<String, Object> values = new HashMap<>();
  private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
  private volatile FleetView view = FleetView.EMPTY;
  private volatile long revision;
  private volatile long confirmedNanos = Long.MIN_VALUE;

  /**
   * Returns the shared state as this daemon knows it.
   *
   * @return the latest view
   */
  public FleetView view() {
    return view;
  }

  /**
   * Registers a listener for new views.
   *
   * @param listener called with each new view, in the thread that applies the change
   */
  public void onChange(Consumer<FleetView> listener) {
    listeners.add(listener);
  }

  /**
   * Applies the objects that are newer than this daemon's copies. Notifies the listeners once if at
   * least one object was applied.
   *
   * @param offered the objects, from the platform or from a peer
   * @return the objects that were applied
   */
  public List<StoredObject> apply(Collection<StoredObject> offered) {
    List<StoredObject> newer = new ArrayList<>();
    FleetView next;
    synchronized (this) {
      for (StoredObject object : offered) {
        if (applyIfNewer(object)) {
          newer.add(object);
        }
      }
      if (newer.isEmpty()) {
        return newer;
      }
      next = build();
      view = next;
    }
    for (Consumer<FleetView> listener : listeners) {
      listener.accept(next);
    }
    return newer;
  }

  private boolean applyIfNewer(StoredObject object) {
    StoredObject known = objects.get(object.name());
    if (known != null && known.version() >= object.version()) {
      return false;
    }
    try {
      values.put(object.name(), parse(object));
      objects.put(object.name(), object);
      if (!object.name().startsWith(ObjectNames.NODES)) {
        revision = Math.max(revision, object.version());
      }
      return true;
    } catch (IOException | IllegalArgumentException e) {
      LOG.error("Object {} cannot be parsed; keeping the last valid version.", object.name(), e);
      return false;
    }
  }

  private static Object parse(StoredObject object) throws IOException {
    String name = object.name();
    if (ObjectNames.ROLLOUT.equals(name)) {
      return Documents.read(object.value(), Rollout.class);
    }
    if (name.startsWith(ObjectNames.BUNDLES)) {
      return Documents.read(object.value(), Bundle.class);
    }
    if (name.startsWith(ObjectNames.DOMAINS)) {
      return Documents.read(object.value(), DomainState.class);
    }
    if (name.startsWith(ObjectNames.DAEMONS)) {
      return Documents.read(object.value(), DaemonList.class);
    }
    if (name.startsWith(ObjectNames.NODES)) {
      return Documents.read(object.value(), NodeList.class);
    }
    throw new IllegalArgumentException("no known kind of object");
  }

  private FleetView build() {
    Rollout rollout = view.rollout();
    Bundle bundle = view.bundle();
    Object rolloutObject = values.get(ObjectNames.ROLLOUT);
    if (rolloutObject instanceof Rollout candidate) {
      Object named = values.get(ObjectNames.bundle(candidate.accepted()));
      if (candidate.accepted() == 0 || named instanceof Bundle) {
        rollout = candidate;
        bundle = (Bundle) named;
      }
    }
    removeBundlesBefore(rollout.accepted());
    Map<String, DomainState> domains = new HashMap<>();
    Map<String, Long> versions = new HashMap<>();
    List<Registration> daemons = new ArrayList<>();
    Map<String, List<Node>> nodes = new HashMap<>();
    values.forEach(
        (name, value) -> {
          if (value instanceof DomainState state) {
            domains.put(name, state);
            versions.put(name, objects.get(name).version());
          } else if (value instanceof DaemonList list) {
            daemons.addAll(list.daemons());
          } else if (value instanceof NodeList list) {
            nodes.put(name.substring(ObjectNames.NODES.length()), list.nodes());
          }
        });
    return new FleetView(rollout, bundle, domains, versions, daemons, nodes);
  }

  private void removeBundlesBefore(long accepted) {
    objects.keySet().removeIf(name -> isBundleBefore(name, accepted));
    values.keySet().removeIf(name -> isBundleBefore(name, accepted));
  }

  private static boolean isBundleBefore(String name, long accepted) {
    return name.startsWith(ObjectNames.BUNDLES)
        && Long.parseLong(name.substring(ObjectNames.BUNDLES.length())) < accepted;
  }

  /**
   * Returns the version of each object.
   *
   * @return the versions by object name
   */
  public synchronized Map<String, Long> versions() {
    Map<String, Long> versions = new HashMap<>();
    objects.forEach((name, object) -> versions.put(name, object.version()));
    return versions;
  }

  /**
   * Returns the objects that are newer than a peer's copies.
   *
   * @param versions the peer's versions by object name; an absent object counts as version 0
   */
  public synchronized List<StoredObject> newerThan(Map<String, Long> versions) {
    List<StoredObject> newer = new ArrayList<>();
    for (StoredObject object : objects.values()) {
      if (object.version() > versions.getOrDefault(object.name(), 0L)) {
        newer.add(object);
      }
    }
    return newer;
  }

  /**
   * Returns one object.
   *
   * @param name the object's name
   * @return the object, or null if this daemon has no copy of it
   */
  public synchronized @Nullable StoredObject object(String name) {
    return objects.get(name);
  }

  /**
   * Returns the highest version of all objects except the lists of nodes.
   *
   * @return the version; 0 before the first object
   */
  public long revision() {
    return revision;
  }

  /**
   * Records that the platform confirmed this daemon's copies as current.
   *
   * @param nanos the time of the confirmation, on this daemon's monotonic clock
   */
  public synchronized void confirmed(long nanos) {
    confirmedNanos = Math.max(confirmedNanos, nanos);
  }

  /**
   * Returns when the platform last confirmed this daemon's copies, directly or through a peer.
   *
   * @return nanoseconds on this daemon's monotonic clock; {@link Long#MIN_VALUE} if never
   */
  public long confirmedNanos() {
    return confirmedNanos;
  }
}
