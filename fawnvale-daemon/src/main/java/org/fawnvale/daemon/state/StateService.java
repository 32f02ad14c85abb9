package org.fawnvale.daemon.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.kernel.Service;
import org.fawnvale.platform.Changes;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.platform.WriteResult;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;

/**
 * Keeps this daemon's copy of the shared objects up to date and distributes changes to peers.
 *
 * <p>The daemon that holds the lease watches the platform and sends changes to the others. A daemon
 * whose copy has not been confirmed for a few seconds polls the platform itself, at random
 * intervals.
 */
public final class StateService implements Service {

  private static final Logger LOG = LogManager.getLogger("state");
  private static final long WATCH_MILLIS = 2000;
  private static final long NODE_LIST_MILLIS = 500;
  private static final long KEEP_ALIVE_MILLIS = 1000;
  private static final long SILENCE_MILLIS = 3000;
  private static final long RETRY_MILLIS = 500;

  private final Context context;
  private final FleetState state;
  private final ObjectStore store;
  private final PeerService peers;
  private final BooleanSupplier holdsLease;
  private volatile boolean stopped;
  private long watchedRevision;
  private long nodeListVersion;
  private long nextPollNanos;

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state this daemon's copy of the shared objects
   * @param store the platform's object store
   * @param peers the links to the other daemons
   * @param holdsLease whether this daemon holds its data centre's lease
   */
  public StateService(
      Context context,
      FleetState state,
      ObjectStore store,
      PeerService peers,
      BooleanSupplier holdsLease) {
    this.context = context;
    this.state = state;
    this.store = store;
    this.peers = peers;
    this.holdsLease = holdsLease;
  }

  @Override
  public void start() {
    peers.on(Message.StateUpdate.class, this::applyUpdate);
    peers.on(Message.StateRequest.class, this::sendNewerObjects);
    peers.onDialed(this::requestState);
    peers.onAccepted(this::requestState);
    pollOnce(0);
    context.executor().execute(this::register);
    context.executor().execute(this::watchLoop);
    context.executor().execute(this::nodeListLoop);
    context
        .scheduler()
        .scheduleWithFixedDelay(
            this::keepAlive, KEEP_ALIVE_MILLIS, KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    stopped = true;
  }

  /**
   * Applies objects that this daemon has written or read, and sends the newer ones to its peers.
   *
   * @param objects the objects with their stored versions
   */
  public void written(List<StoredObject> objects) {
    sendToPeers(state.apply(objects));
  }

  /** Returns the milliseconds since the platform confirmed this daemon's copies; large if never. */
  public long ageMillis() {
    long confirmed = state.confirmedNanos();
    if (confirmed == Long.MIN_VALUE) {
      return Long.MAX_VALUE / 2;
    }
    return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - confirmed);
  }

  private void register() {
    Registration self = peers.registration();
    String name = ObjectNames.daemons(self.dataCentre());
    boolean warned = false;
    while (!stopped && !tryRegister(self, name)) {
      if (!warned) {
        LOG.warn(
            "The platform has not accepted this daemon's registration; retrying until it does.");
        warned = true;
      }
      sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
    }
  }

  private boolean tryRegister(Registration self, String name) {
    String operation = context.holder();
    return store
        .get(name)
        .fold(
            found -> {
              long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
              DaemonList list = found.map(this::daemonList).orElse(new DaemonList(List.of(), ""));
              if (list.daemons().contains(self)) {
                return true;
              }
              byte[] value = Documents.write(list.with(self, operation));
              WriteResult result = store.put(name, version, value);
              if (result instanceof WriteResult.Written written) {
                written(List.of(new StoredObject(name, written.version(), value)));
                return true;
              }
              return false;
            },
            problem -> false);
  }

  private DaemonList daemonList(StoredObject object) {
    try {
      return Documents.read(object.value(), DaemonList.class);
    } catch (java.io.IOException e) {
      LOG.error("The list of daemons cannot be parsed; replacing it with a new one.", e);
      return new DaemonList(List.of(), "");
    }
  }

  private void watchLoop() {
    while (!stopped) {
      boolean succeeded = true;
      if (holdsLease.getAsBoolean()) {
        succeeded = pollOnce(WATCH_MILLIS);
      } else if (isPollDue()) {
        succeeded = pollOnce(0) && pollNodes();
        nextPollNanos = context.nowNanos() + jitterNanos();
      } else {
        sleep(100);
      }
      if (!succeeded) {
        sleep(RETRY_MILLIS);
      }
    }
  }

  private boolean isPollDue() {
    return ageMillis() > SILENCE_MILLIS && context.nowNanos() - nextPollNanos >= 0;
  }

  private static long jitterNanos() {
    long millis = SILENCE_MILLIS / 2 + ThreadLocalRandom.current().nextLong(SILENCE_MILLIS);
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private boolean pollOnce(long waitMillis) {
    long sentNanos = context.nowNanos();
    Result<Changes> result = store.watch(ObjectNames.SHARED, watchedRevision, waitMillis);
    return result.fold(
        changes -> {
          watchedRevision = Math.max(watchedRevision, changes.revision());
          sendToPeers(state.apply(changes.objects()));
          state.confirmed(sentNanos);
          return true;
        },
        problem -> {
          LOG.debug("The platform cannot be watched: {}", problem.message());
          return false;
        });
  }

  private void nodeListLoop() {
    while (!stopped) {
      if (holdsLease.getAsBoolean()) {
        pollNodes();
      }
      sleep(NODE_LIST_MILLIS);
    }
  }

  private synchronized boolean pollNodes() {
    String dataCentre = context.identity().dataCentre();
    return store
        .nodes(dataCentre)
        .fold(
            nodes -> {
              applyNodes(dataCentre, nodes);
              return true;
            },
            problem -> false);
  }

  /**
   * Distributes a changed list of nodes; ignores an empty list. The platform gives the list no
   * version, so its version is derived from the wall clock, which orders the lists of successive
   * lease holders.
   */
  private void applyNodes(String dataCentre, List<Node> nodes) {
    if (nodes.equals(state.view().nodesOf(dataCentre))) {
      return;
    }
    if (nodes.isEmpty()) {
      LOG.warn("The platform lists no nodes; keeping the last list.");
      return;
    }
    nodeListVersion = Math.max(nodeListVersion + 1, context.wallClock().getAsLong());
    byte[] value = Documents.write(new NodeList(nodes));
    written(List.of(new StoredObject(ObjectNames.nodes(dataCentre), nodeListVersion, value)));
  }

  private void keepAlive() {
    if (holdsLease.getAsBoolean()) {
      Message update = new Message.StateUpdate(List.of(), ageMillis());
      peers.sendToDataCentre(update);
    }
  }

  private void sendToPeers(List<StoredObject> objects) {
    if (objects.isEmpty()) {
      return;
    }
    Message update = update(objects);
    peers.links().forEach(link -> link.send(update));
  }

  private Message.StateUpdate update(List<StoredObject> objects) {
    List<Message.StateObject> wire = new ArrayList<>();
    for (StoredObject object : objects) {
      wire.add(new Message.StateObject(object.name(), object.version(), object.value()));
    }
    return new Message.StateUpdate(wire, ageMillis());
  }

  private void applyUpdate(Link link, Message.StateUpdate update) {
    List<StoredObject> offered = new ArrayList<>();
    for (Message.StateObject object : update.objects()) {
      offered.add(new StoredObject(object.name(), object.version(), object.value()));
    }
    long receivedNanos = context.nowNanos();
    List<StoredObject> newer = state.apply(offered);
    boolean sameDataCentre = link.peer().dataCentre().equals(context.identity().dataCentre());
    if (sameDataCentre) {
      state.confirmed(receivedNanos - TimeUnit.MILLISECONDS.toNanos(update.platformAgeMillis()));
    } else if (!newer.isEmpty()) {
      peers.sendToDataCentre(update(newer));
    }
  }

  /**
   * Requests the peer's newer objects. Both ends of a new link do so, which brings a daemon that
   * starts during a platform outage up to date without the platform.
   */
  private void requestState(Link link) {
    link.send(new Message.StateRequest(state.versions()));
  }

  private void sendNewerObjects(Link link, Message.StateRequest request) {
    link.send(update(state.newerThan(request.versions())));
  }

  private void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }
}
