package org.fawnvale.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A small stand-in for the users' platform on loopback: its store with the operator's
 * configuration, and model workers that form groups of two.
 */
public final class UsersPlatformStandIn implements AutoCloseable {

  private static final String LISTED_MODEL = "listed";
  private static final String LOOPBACK = "127.0.0.1";
  private static final String WORKERS = "servers";
  private static final String CONFIGURATION = "config";
  private static final int EVENTS_BEFORE_A_LOSS = 3;
  private static final int DOWN_MILLIS = 600;
  private static final long FIRST_VERSION = 1;
  private static final int WRITES_AGAIN_MILLIS = 1_800;

  /** Three heartbeats. */
  private static final int LAPSE_MILLIS = 3_600;

  private final UsersStore store = new UsersStore();
  private final StandInServer storeServer;
  private final List<Long> versions = new CopyOnWriteArrayList<>();
  private final List<Map<String, Object>> models = new CopyOnWriteArrayList<>();
  private final Map<String, GroupWorker> workers = new ConcurrentHashMap<>();
  private final Map<String, PlainWorker> plainWorkers = new ConcurrentHashMap<>();
  private volatile WorkerObserver observer = WorkerObserver.NONE;
  private final Map<String, StandInServer> servers = new ConcurrentHashMap<>();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final Set<String> deadly = ConcurrentHashMap.newKeySet();
  private final List<String> ended = new CopyOnWriteArrayList<>();
  private final Set<String> doomed = ConcurrentHashMap.newKeySet();
  private final Map<String, List<String>> begun = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "stand-in timer");
            thread.setDaemon(true);
            return thread;
          });

  private UsersPlatformStandIn() throws IOException {
    models.add(UsersConfiguration.model(UsersConfiguration.MODEL));
    storeServer = StandInServer.start(LOOPBACK, 0, store);
  }

  /**
   * Starts the store with a first configuration.
   *
   * @return the running stand-in
   * @throws IOException when no port is free
   */
  public static UsersPlatformStandIn start() throws IOException {
    UsersPlatformStandIn standIn = new UsersPlatformStandIn();
    standIn.configure(FIRST_VERSION, UsersConfiguration.STREAM_PATH);
    return standIn;
  }

  /**
   * Puts a configuration in force.
   *
   * @param version its version
   * @param pathPrefix the path of its only route
   */
  public void configure(long version, String pathPrefix) {
    store.put(CONFIGURATION, "main", UsersConfiguration.of(version, pathPrefix, models));
  }

  /**
   * Starts a worker.
   *
   * @param id its id
   * @param zone its data centre, which is its fabric domain as well
   * @throws IOException when no port is free
   */
  public void addWorker(String id, String zone) throws IOException {
    refuseIfThere(id);
    GroupWorker worker = new GroupWorker(id, zone, this);
    workers.put(id, worker);
    listen(worker, id);
  }

  /**
   * Starts a worker of the plain service.
   *
   * @param id its id
   * @param zone its data centre
   * @throws IOException when no port is free
   */
  public void addPlainWorker(String id, String zone) throws IOException {
    refuseIfThere(id);
    PlainWorker worker = new PlainWorker(id, zone, this);
    plainWorkers.put(id, worker);
    StandInServer server = StandInServer.start(LOOPBACK, 0, worker);
    servers.put(id, server);
    worker.listensAt(LOOPBACK + ":" + server.port());
  }

  /**
   * Names who is told of what reaches the workers.
   *
   * @param listener told on the workers' threads
   */
  public void observe(WorkerObserver listener) {
    observer = listener;
  }

  /**
   * Lets a worker turn all requests away for a while.
   *
   * @param id its id
   * @param forMillis how long, in milliseconds
   * @param restMillis the rest that it asks each sender for, in milliseconds; 0 for none
   */
  public void turnAway(String id, long forMillis, long restMillis) {
    mood(id).turnAway(forMillis, restMillis);
  }

  /**
   * Lets a worker lose a share of its answers for a while, after it has run the requests.
   *
   * @param id its id
   * @param forMillis how long, in milliseconds
   * @param share the share, from 0 to 1
   */
  public void loseAnswers(String id, long forMillis, double share) {
    mood(id).loseAnswers(forMillis, share);
  }

  /**
   * Lets a worker name a limit in all its answers from now on.
   *
   * @param id its id
   * @param limit the requests a second that it takes from all daemons together, as it writes it;
   *     null for no limit any more
   */
  public void nameLimit(String id, @Nullable String limit) {
    mood(id).nameLimit(limit);
  }

  /**
   * Lets another writer replace a worker's entry by one that names no worker, until the worker
   * writes its own again.
   *
   * @param id its id
   * @param entry what is written instead
   */
  public void spoilEntry(String id, Object entry) {
    store.put(WORKERS, id, entry);
  }

  /**
   * Lets a worker write its entry again.
   *
   * @param id its id
   */
  public void writeEntry(String id) {
    PlainWorker plain = plainWorkers.get(id);
    GroupWorker worker = workers.get(id);
    if (plain != null) {
      plain.publish();
    } else if (worker != null) {
      worker.publish();
    }
  }

  /**
   * Lets a worker say in all its answers that it leaves, whatever its entry says.
   *
   * @param id its id
   */
  public void leaveInAnswers(String id) {
    mood(id).leave();
  }

  /**
   * Ends a worker that has left: nothing listens at its address, and its entry goes.
   *
   * @param id its id
   */
  public void remove(String id) {
    GroupWorker worker = workers.remove(id);
    if (worker != null) {
      worker.die();
    }
    plainWorkers.remove(id);
    StandInServer server = servers.remove(id);
    if (server != null) {
      server.close();
    }
    store.remove(WORKERS, id);
  }

  private void refuseIfThere(String id) {
    if (workers.containsKey(id) || plainWorkers.containsKey(id)) {
      throw new IllegalArgumentException("There is a worker " + id + "; choose another id.");
    }
  }

  private WorkerMood mood(String id) {
    PlainWorker plain = plainWorkers.get(id);
    return plain == null ? worker(id).mood() : plain.mood();
  }

  /**
   * Workers that do not leave.
   *
   * @return the ids of those of the groups' service
   */
  public List<String> groupWorkers() {
    return workers.keySet().stream().filter(id -> !mood(id).isLeaving()).sorted().toList();
  }

  /**
   * Workers of the plain service that do not leave.
   *
   * @return their ids
   */
  public List<String> plainWorkers() {
    return plainWorkers.entrySet().stream()
        .filter(one -> !one.getValue().leaves())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private void listen(GroupWorker worker, String id) throws IOException {
    StandInServer server = StandInServer.start(LOOPBACK, 0, worker);
    servers.put(id, server);
    worker.listensAt(LOOPBACK + ":" + server.port());
  }

  /**
   * Adds the model of the groups that are listed only; it comes with the next configuration.
   *
   * @see #listGroup
   */
  public void addListedModel() {
    models.add(UsersConfiguration.model(LISTED_MODEL));
  }

  /**
   * Lists a pair of nodes that form an open group, without running them: they fill the list of a
   * large fleet. Listing them again changes their entries.
   *
   * @param name names the group and its members
   * @param zone its data centre, which is its fabric domain as well
   * @param version what the entries tell of their software; another one is a change
   */
  public void listGroup(String name, String zone, int version) {
    List<String> members = List.of(name + "-0", name + "-1");
    for (int rank = 0; rank < members.size(); rank++) {
      Map<String, Object> place = new LinkedHashMap<>();
      place.put("name", name + "~" + members.get(0));
      place.put("epoch", 1);
      place.put("rank", rank);
      place.put("state", rank == 0 ? "open" : "ready");
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("service", UsersConfiguration.SERVICE);
      entry.put("address", LOOPBACK + ":1");
      entry.put("zone", zone);
      entry.put("domain", zone);
      entry.put("version", version);
      entry.put("slots", 4);
      entry.put("state", "ready");
      entry.put(
          "models", List.of(Map.of("name", LISTED_MODEL, "version", 1, "adapters", List.of())));
      entry.put("staged", List.of(LISTED_MODEL));
      entry.put("group", place);
      publish(members.get(rank), entry);
    }
  }

  /**
   * Lets the last member of a group die without a word, in the middle of a request; its entry
   * stays.
   *
   * @param attempt the id of the request
   */
  public void loseAMemberDuring(String attempt) {
    doomed.add(attempt);
  }

  /**
   * Lets each worker that begins to run a request of a body end, with all its connections, and
   * start again under its id.
   *
   * @param body the body
   */
  public void endWith(String body) {
    deadly.add(body);
  }

  boolean isDeadly(String body) {
    return deadly.contains(body);
  }

  /** Ends a worker under a request: nothing listens at its address until it starts again. */
  void ended(String attempt, String id) {
    ended.add(id);
    observer.ended(attempt, id);
    end(id);
  }

  /**
   * Lets a worker crash; it starts again under its id after a while.
   *
   * @param id its id
   */
  public void crash(String id) {
    worker(id).die();
    end(id);
  }

  private void end(String id) {
    StandInServer server = servers.remove(id);
    if (server != null) {
      server.close();
    }
    later(DOWN_MILLIS, () -> startAgain(id));
  }

  private void startAgain(String id) {
    GroupWorker worker = workers.get(id);
    if (worker == null) {
      return;
    }
    worker.beginAnew();
    observer.started(id);
    try {
      listen(worker, id);
    } catch (IOException e) {
      violation(id + " could not start again: " + e.getMessage());
    }
  }

  /**
   * Workers that ended under requests, each as often as it ended.
   *
   * @return their ids, in order
   */
  public List<String> endedWorkers() {
    return List.copyOf(ended);
  }

  /**
   * Requests that the system keeps as ending nodes.
   *
   * @return the names of its objects
   */
  public List<String> keptRequests() {
    return store.names("quarantine");
  }

  void passed(String attempt, int event, List<String> members) {
    if (event == EVENTS_BEFORE_A_LOSS && doomed.remove(attempt)) {
      worker(members.get(members.size() - 1)).die();
    }
  }

  /**
   * Lets a worker say in its entry that it leaves.
   *
   * @param id its id
   */
  public void drain(String id) {
    observer.leavesListed(id);
    PlainWorker plain = plainWorkers.get(id);
    if (plain == null) {
      worker(id).drain();
    } else {
      plain.drain();
    }
  }

  /**
   * Lets the store answer or refuse all calls.
   *
   * @param down whether it refuses
   */
  public void storeDown(boolean down) {
    store.down(down);
  }

  /**
   * Marks the state that the store has now, so that it can go back to it.
   *
   * @return the revision of the last change
   */
  public long copyOfStore() {
    return store.revision();
  }

  /**
   * Lets the store go back to an earlier state, in a new era; nobody writes again by itself.
   *
   * @param copy what {@link #copyOfStore} gave
   */
  public void storeGoesBackTo(long copy) {
    store.goBackTo(copy);
  }

  /**
   * Lets the store come back from a copy. The operator writes its newest configuration again, each
   * worker its entry, all after delays that are drawn; entries of workers that are gone lapse.
   *
   * @param ageMillis how old the copy is, in milliseconds
   * @param delays draws the delays
   */
  public void storeComesBackFromACopy(long ageMillis, Random delays) {
    store.goBackTo(store.revisionBefore(ageMillis));
    later(delays.nextInt(WRITES_AGAIN_MILLIS), this::writeConfigurationAgain);
    for (String id : ids()) {
      later(delays.nextInt(WRITES_AGAIN_MILLIS), () -> writeEntry(id));
    }
    later(LAPSE_MILLIS, this::lapse);
  }

  private Set<String> ids() {
    Set<String> ids = new TreeSet<>(workers.keySet());
    ids.addAll(plainWorkers.keySet());
    return ids;
  }

  private void lapse() {
    Set<String> alive = ids();
    for (String id : store.names(WORKERS)) {
      if (!alive.contains(id)) {
        store.remove(WORKERS, id);
      }
    }
  }

  private void writeConfigurationAgain() {
    long newest = versions.isEmpty() ? FIRST_VERSION : versions.get(versions.size() - 1);
    configureNext(newest);
  }

  /**
   * Puts a configuration in force that adds a route to all former ones.
   *
   * @param version its version
   * @see UsersConfiguration#pathSince
   */
  public synchronized void addRouteWith(long version) {
    versions.add(version);
    configureNext(version);
  }

  private synchronized void configureNext(long version) {
    Object configuration =
        UsersConfiguration.of(
            version, UsersConfiguration.STREAM_PATH, models, List.copyOf(versions));
    store.put(CONFIGURATION, "main", configuration);
    observer.configured(version);
  }

  /** Begins to count the calls to the store anew. */
  public void countStoreCallsAnew() {
    store.calls().reset();
  }

  /**
   * Calls to the store since the count began.
   *
   * @return their number
   */
  public long storeCalls() {
    return store.calls().total();
  }

  /**
   * The most calls to the store within a second since the count began.
   *
   * @return their number
   */
  public long mostStoreCallsASecond() {
    return store.calls().mostASecond();
  }

  /**
   * Lists of the configuration that daemons have asked for.
   *
   * @return the number so far
   */
  public int listsOfConfiguration() {
    return store.pages(CONFIGURATION);
  }

  /**
   * Sets how much a list of the store gives at once; five objects when it is not set.
   *
   * @param objects the most objects of a page
   */
  public void pagesOf(int objects) {
    store.pagesOf(objects);
  }

  /** Lets all connections to the store on which a call waits go silent, without a reset. */
  public void silenceWaitingCalls() {
    store.silenceWaiting();
  }

  /**
   * The shortest time that a call has asked to wait for a newer configuration.
   *
   * @return the time, in milliseconds
   */
  public long shortestConfigurationWaitMillis() {
    return store.shortestWaitMillis(CONFIGURATION);
  }

  /**
   * Groups that are open now.
   *
   * @return the members of each, the head first
   */
  public List<List<String>> openGroups() {
    List<List<String>> groups = new ArrayList<>();
    for (GroupWorker worker : workers.values()) {
      List<String> members = worker.serves();
      if (!members.isEmpty()) {
        groups.add(members);
      }
    }
    return groups;
  }

  /**
   * Daemons that wait for changes of the workers' entries.
   *
   * @return their number
   */
  public int watchersOfWorkers() {
    return store.watching(WORKERS);
  }

  /**
   * Promises that were seen broken.
   *
   * @return one line for each
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Workers at which a request began to run.
   *
   * @param attempt the id of the request
   * @return their ids, in order
   */
  public List<String> beganAt(String attempt) {
    return List.copyOf(begun.getOrDefault(attempt, List.of()));
  }

  /**
   * Lists of workers that daemons have asked for, page by page.
   *
   * @return the number of pages so far
   */
  public int pagesOfWorkers() {
    return store.pages(WORKERS);
  }

  /**
   * Where the store listens.
   *
   * @return the port on the loopback address
   */
  public int storePort() {
    return storeServer.port();
  }

  private GroupWorker worker(String id) {
    GroupWorker worker = workers.get(id);
    if (worker == null) {
      throw new IllegalArgumentException("There is no worker " + id + "; add it first.");
    }
    return worker;
  }

  boolean isOpen(String head, String group) {
    GroupWorker worker = workers.get(head);
    return worker != null && worker.heads(group);
  }

  boolean isWhole(List<String> members, String group, long epoch) {
    for (String member : members) {
      GroupWorker worker = workers.get(member);
      if (worker == null || !worker.isAlive() || !worker.isIn(group, epoch)) {
        return false;
      }
    }
    return true;
  }

  /** A member that was ready and is lost since excuses a request that begins. */
  boolean wasWhole(List<String> members, String group, long epoch) {
    for (String member : members) {
      GroupWorker worker = workers.get(member);
      boolean removed = worker == null;
      if (!removed && !worker.wasReadyIn(group, epoch)) {
        return false;
      }
    }
    return true;
  }

  void violation(String text) {
    violations.add(text);
  }

  void arrived(String attempt, String worker) {
    observer.arrived(attempt, worker);
  }

  void answers(String attempt, String worker, Reply reply) {
    boolean leaving = reply.headers().containsKey("Server-Leaving");
    observer.answers(attempt, worker, WorkerMood.restOf(reply), leaving);
    String limit = WorkerMood.limitOf(reply);
    if (limit != null) {
      observer.namesLimit(attempt, worker, limit);
    }
  }

  void began(String attempt, String worker) {
    observer.began(attempt, worker);
    begun.computeIfAbsent(attempt, id -> new CopyOnWriteArrayList<>()).add(worker);
  }

  void publish(String worker, Object entry) {
    store.put(WORKERS, worker, entry);
  }

  void later(long millis, Runnable task) {
    timer.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    store.down(true);
    servers.values().forEach(StandInServer::close);
    storeServer.close();
  }
}
