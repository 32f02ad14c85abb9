package org.fawnvale.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in for the users' platform on loopback: the store with the operator's configuration,
 * model workers that form groups of two, and workers of a plain service.
 */
public final class UsersPlatformStandIn implements AutoCloseable {

  /** Stands in an entry for bytes that are not UTF-8, which the store sends in its place. */
  public static final String INVALID_UTF8 = UsersStore.INVALID_UTF8;

  private static final String LISTED_MODEL = "listed";
  private static final String LOOPBACK = "127.0.0.1";
  private static final String WORKERS = "servers";
  private static final String CONFIGURATION = "config";
  private static final String EVACUATIONS = "evacuations";

  private static final int EVENTS_BEFORE_MEMBER_CRASH = 3;
  private static final int RESTART_DELAY_MILLIS = 600;
  private static final int DARK_MILLIS = 6_000;
  private static final long INITIAL_VERSION = 1;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_REWRITE_DELAY_MILLIS = 1_800;

  /** The delay from a restore to the removal of entries of removed workers, in milliseconds. */
  private static final int ENTRY_EXPIRY_MILLIS = 3_600;

  private final UsersStore store = new UsersStore();
  private final StandInServer storeServer;
  private final ConfigurationChanges changes = new ConfigurationChanges(INITIAL_VERSION);
  private final Set<String> evacuated = ConcurrentHashMap.newKeySet();
  private final List<Map<String, Object>> models = new CopyOnWriteArrayList<>();
  private final Map<String, GroupWorker> workers = new ConcurrentHashMap<>();
  private final GroupStates groups = new GroupStates(workers);
  private final Map<String, PlainWorker> plainWorkers = new ConcurrentHashMap<>();
  private volatile WorkerObserver observer = WorkerObserver.NONE;
  private final WorkerServers servers = new WorkerServers();
  private final Set<String> coldAfterRestart = ConcurrentHashMap.newKeySet();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final CrashingRequests crashing = new CrashingRequests();
  private final List<String> ended = new CopyOnWriteArrayList<>();
  private final Set<String> attemptsLosingMember = ConcurrentHashMap.newKeySet();
  private final Map<String, List<String>> startsByAttempt = new ConcurrentHashMap<>();
  private final ScheduledThreadPoolExecutor timer =
      new ScheduledThreadPoolExecutor(
          1,
          task -> {
            Thread thread = new Thread(task, "stand-in timer");
            thread.setDaemon(true);
            return thread;
          });

  private UsersPlatformStandIn() throws IOException {
    // Started by a worker's thread, it would belong to that worker's thread group, as the servers
    // that it restarts, which the end of that worker interrupts.
    timer.prestartAllCoreThreads();
    models.add(UsersConfiguration.model(UsersConfiguration.MODEL));
    storeServer = StandInServer.start(LOOPBACK, 0, store);
  }

  /**
   * Starts the store with an initial configuration.
   *
   * @return the running stand-in
   * @throws IOException when no port is free
   */
  public static UsersPlatformStandIn start() throws IOException {
    UsersPlatformStandIn standIn = new UsersPlatformStandIn();
    standIn.configure(INITIAL_VERSION, UsersConfiguration.STREAM_PATH);
    return standIn;
  }

  /**
   * Writes a configuration to the store.
   *
   * @param version the configuration's version
   * @param pathPrefix the path prefix of the route for streams
   */
  public void configure(long version, String pathPrefix) {
    store.put(CONFIGURATION, "main", UsersConfiguration.of(version, pathPrefix, models));
  }

  /**
   * Writes a configuration whose service of model workers has a second, less urgent route, {@link
   * UsersConfiguration#BATCH_PATH}.
   *
   * @param version the configuration's version
   */
  public void configureRanked(long version) {
    store.put(CONFIGURATION, "main", UsersConfiguration.ranked(version, models));
  }

  /**
   * Starts a model worker.
   *
   * @param id the worker's id
   * @param zone the worker's data centre, which is also its fabric domain
   * @throws IOException when no port is free
   */
  public void addWorker(String id, String zone) throws IOException {
    requireUnusedId(id);
    GroupWorker worker = new GroupWorker(id, zone, this);
    workers.put(id, worker);
    listen(worker, id);
  }

  /**
   * Starts a worker of the plain service.
   *
   * @param id the worker's id
   * @param zone the worker's data centre
   * @throws IOException when no port is free
   */
  public void addPlainWorker(String id, String zone) throws IOException {
    requireUnusedId(id);
    PlainWorker worker = new PlainWorker(id, zone, this);
    plainWorkers.put(id, worker);
    worker.setAddress(servers.start(id, worker));
  }

  /**
   * Returns the processes that are cut off from the workers, for changes.
   *
   * @return the cuts
   */
  public WorkerCuts cuts() {
    return servers.cuts();
  }

  /**
   * Returns the workers that stand still, for changes.
   *
   * @return the silences
   */
  public WorkerSilences silences() {
    return servers.silences();
  }

  /**
   * Sets the observer of the requests that reach the workers.
   *
   * @param listener the observer, called on the workers' threads
   */
  public void observe(WorkerObserver listener) {
    observer = listener;
  }

  /**
   * Makes a worker reject all requests for some time.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param restMillis the Retry-After pause in the rejections, in milliseconds; 0 for none
   */
  public void turnAway(String id, long forMillis, long restMillis) {
    observer.impaired(id, forMillis);
    behaviour(id).turnAway(forMillis, restMillis);
  }

  /**
   * Makes a worker drop a share of its responses for some time, after it has run the requests.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param share the share of dropped responses, from 0 to 1
   */
  public void loseAnswers(String id, long forMillis, double share) {
    observer.impaired(id, forMillis);
    behaviour(id).loseAnswers(forMillis, share);
  }

  /**
   * Makes a worker send a share of its responses without a length or chunks, and break off as large
   * a share of its streams inside an event. A stream that is broken off ends in an orderly way.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param share the share of responses, from 0 to 1
   */
  public void endAnswersWithConnection(String id, long forMillis, double share) {
    observer.impaired(id, forMillis);
    behaviour(id).endAnswersWithConnection(forMillis, share);
  }

  /**
   * Makes a worker answer a share of its requests with an error for some time.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param share the share of requests, from 0 to 1
   */
  public void fail(String id, long forMillis, double share) {
    observer.impaired(id, forMillis);
    behaviour(id).fail(forMillis, share);
  }

  /**
   * Makes a worker send a share of its answers without an end for some time.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param share the share of answers, from 0 to 1
   */
  public void sendEndlessAnswers(String id, long forMillis, double share) {
    observer.impaired(id, forMillis);
    behaviour(id).sendEndlessAnswers(forMillis, share);
  }

  /**
   * Makes a worker send a share of its responses a second time, where the next one on the same
   * connection is due, to requests, orders and queries alike. Its own responses follow.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param share the share of responses, from 0 to 1
   * @param rejectedShare the share of requests that the worker rejects meanwhile, from 0 to 1
   */
  public void repeatAnswers(String id, long forMillis, double share, double rejectedShare) {
    observer.answersRepeated(id, forMillis);
    behaviour(id).repeatAnswers(forMillis, share, rejectedShare);
  }

  /**
   * Makes a worker damage some of its responses, to requests, orders and queries alike.
   *
   * @param id the worker's id
   * @param forMillis the duration in milliseconds
   * @param damage what is damaged
   */
  public void damageAnswers(String id, long forMillis, AnswerDamage damage) {
    observer.impaired(id, forMillis);
    behaviour(id).damageAnswers(forMillis, damage);
  }

  /**
   * Makes a worker advertise a limit in all its responses from now on.
   *
   * @param id the worker's id
   * @param limit the header value: requests a second that the worker accepts from all daemons
   *     together; null to advertise no limit
   */
  public void nameLimit(String id, @Nullable String limit) {
    behaviour(id).nameLimit(limit);
  }

  /**
   * Overwrites a worker's entry in the store, as a faulty writer would, until the worker publishes
   * its entry again.
   *
   * @param id the worker's id
   * @param entry the invalid entry; a {@link com.fasterxml.jackson.databind.util.RawValue} is sent
   *     as it stands, and {@link #INVALID_UTF8} in it as bytes that are not UTF-8
   */
  public void spoilEntry(String id, Object entry) {
    store.put(WORKERS, id, entry);
  }

  /**
   * Makes a worker publish its entry again.
   *
   * @param id the worker's id
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
   * Makes a worker announce in all its responses that it is leaving; its entry does not change.
   *
   * @param id the worker's id
   */
  public void leaveInAnswers(String id) {
    behaviour(id).leave();
  }

  /**
   * Removes a worker: stops its server and deletes its entry.
   *
   * @param id the worker's id
   */
  public void remove(String id) {
    lose(id, RESTART_DELAY_MILLIS);
    GroupWorker worker = workers.remove(id);
    if (worker != null) {
      worker.die();
    }
    plainWorkers.remove(id);
    servers.close(id);
    store.remove(WORKERS, id);
  }

  private void requireUnusedId(String id) {
    if (workers.containsKey(id) || plainWorkers.containsKey(id)) {
      throw new IllegalArgumentException("A worker " + id + " exists already; choose another id.");
    }
  }

  private WorkerBehaviour behaviour(String id) {
    PlainWorker plain = plainWorkers.get(id);
    return plain == null ? worker(id).behaviour() : plain.behaviour();
  }

  /**
   * Returns the model workers that have not announced in a response that they are leaving.
   *
   * @return the workers' ids, sorted
   */
  public List<String> groupWorkers() {
    return workers.keySet().stream().filter(id -> !behaviour(id).isLeaving()).sorted().toList();
  }

  /**
   * Returns the workers of the plain service that have not announced that they are leaving.
   *
   * @return the workers' ids, sorted
   */
  public List<String> plainWorkers() {
    return plainWorkers.entrySet().stream()
        .filter(one -> !one.getValue().leaves())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private void listen(GroupWorker worker, String id) throws IOException {
    worker.setAddress(servers.start(id, worker));
  }

  /**
   * Adds the model of the listed groups to the next configuration that is written.
   *
   * @see #listGroup
   */
  public void addListedModel() {
    models.add(UsersConfiguration.model(LISTED_MODEL));
  }

  /**
   * Writes the entries of two nodes that form an open group, without running the nodes. Tests use
   * such groups to simulate a large fleet. A second call replaces the entries.
   *
   * @param name the prefix of the group's name and of its members' ids
   * @param zone the group's data centre, which is also its fabric domain
   * @param version the software version in the entries
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
   * Makes the last member of the serving group crash in the middle of a request; the member's entry
   * stays in the store.
   *
   * @param attempt the attempt id of the request
   */
  public void loseAMemberDuring(String attempt) {
    attemptsLosingMember.add(attempt);
  }

  /**
   * Makes each worker that starts a request with a given body crash, close all its connections and
   * restart under the same id.
   *
   * @param body the request body
   */
  public void endWith(String body) {
    crashing.addBody(body);
  }

  /**
   * Returns the requests that crash workers, for changes. For a prompt part a worker sends the head
   * of its answer first; it restarts under the same id.
   *
   * @return the requests
   */
  public CrashingRequests crashing() {
    return crashing;
  }

  /** Stops the server of a worker that crashed while it ran a request, and schedules a restart. */
  void ended(String attempt, String id) {
    ended.add(id);
    observer.ended(attempt, id);
    lose(id, RESTART_DELAY_MILLIS);
    end(id);
  }

  /**
   * Makes a worker crash and restart under the same id after a short delay.
   *
   * @param id the worker's id
   */
  public void crash(String id) {
    lose(id, RESTART_DELAY_MILLIS);
    worker(id).die();
    end(id);
  }

  /**
   * Makes a model worker crash as with its machine: its connections hang, new ones are not answered
   * at all, its entry expires, and it comes back some seconds later under the same id.
   *
   * @param id the worker's id
   * @return false when the worker is down already
   * @throws IOException when its port can't be kept
   */
  public boolean goDark(String id) throws IOException {
    if (!servers.isRunning(id)) {
      return false;
    }
    lose(id, DARK_MILLIS);
    servers.goDark(id);
    worker(id).die();
    laterIfDark(id, ENTRY_EXPIRY_MILLIS, () -> store.remove(WORKERS, id));
    laterIfDark(
        id,
        DARK_MILLIS,
        () -> {
          servers.close(id);
          restart(id);
        });
    return true;
  }

  private void laterIfDark(String id, long millis, Runnable task) {
    later(
        millis,
        () -> {
          if (servers.isDark(id)) {
            task.run();
          }
        });
  }

  /** Tells the observer that a worker is lost, and which open group loses it. */
  private void lose(String id, long millis) {
    observer.impaired(id, millis);
    groups.with(id).forEach(group -> observer.memberLost(id, group));
  }

  private void end(String id) {
    servers.close(id);
    later(RESTART_DELAY_MILLIS, () -> restart(id));
  }

  private void restart(String id) {
    GroupWorker worker = workers.get(id);
    if (worker == null) {
      return;
    }
    worker.restart();
    observer.started(id);
    if (coldAfterRestart.remove(id)) {
      turnCold(id);
    }
    try {
      listen(worker, id);
    } catch (IOException e) {
      violation(id + " could not start again: " + e.getMessage());
    }
  }

  /**
   * Makes all workers of a data centre fail and come back cold after a short delay. Model workers
   * come back as new incarnations; plain workers, which report no start, under the same id. Workers
   * that have announced that they are leaving don't take part, since they don't come back.
   *
   * @param zone the data centre
   */
  public void returnCold(String zone) {
    for (GroupWorker worker : workers.values()) {
      if (worker.isIn(zone) && worker.isAlive() && !worker.behaviour().isLeaving()) {
        coldAfterRestart.add(worker.id());
        crash(worker.id());
      }
    }
    for (PlainWorker worker : plainWorkers.values()) {
      if (worker.isIn(zone) && !worker.leaves() && servers.isRunning(worker.id())) {
        observer.impaired(worker.id(), RESTART_DELAY_MILLIS);
        servers.close(worker.id());
        store.remove(WORKERS, worker.id());
        later(RESTART_DELAY_MILLIS, () -> returnPlain(worker));
      }
    }
  }

  private void returnPlain(PlainWorker worker) {
    if (!plainWorkers.containsKey(worker.id())) {
      return;
    }
    turnCold(worker.id());
    try {
      worker.setAddress(servers.start(worker.id(), worker));
    } catch (IOException e) {
      violation(worker.id() + " could not start again: " + e.getMessage());
    }
  }

  private void turnCold(String id) {
    long millis = UsersConfiguration.COLD_SECONDS * MILLIS_PER_SECOND;
    behaviour(id).turnCold(millis);
    observer.returnsCold(id, millis);
  }

  /**
   * Returns the workers that crashed while they ran a request, one entry for each crash.
   *
   * @return the workers' ids in the order of the crashes
   */
  public List<String> endedWorkers() {
    return List.copyOf(ended);
  }

  /**
   * Returns the quarantine records in the store.
   *
   * @return the names of the records
   */
  public List<String> keptRequests() {
    return store.names("quarantine");
  }

  void passed(String attempt, int event, List<String> members) {
    if (event == EVENTS_BEFORE_MEMBER_CRASH && attemptsLosingMember.remove(attempt)) {
      worker(members.get(members.size() - 1)).die();
    }
  }

  /**
   * Makes a worker announce in its entry that it is draining.
   *
   * @param id the worker's id
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
   * Starts or ends an outage of the store.
   *
   * @param down whether the store is down
   */
  public void storeDown(boolean down) {
    store.down(down);
  }

  /**
   * Returns a reference to the present state of the store, for {@link #storeGoesBackTo}.
   *
   * @return the revision of the last change
   */
  public long copyOfStore() {
    return store.revision();
  }

  /**
   * Restores an earlier state of the store in a new era. The stand-in does not write newer data
   * again afterwards.
   *
   * @param copy the result of {@link #copyOfStore}
   */
  public void storeGoesBackTo(long copy) {
    store.restore(copy);
  }

  /**
   * Restores the store from a backup. After random delays, the operator writes the newest
   * configuration again and each worker publishes its entry. Entries of removed workers expire.
   *
   * @param ageMillis the age of the backup in milliseconds
   * @param delays the source of the random delays
   */
  public void storeComesBackFromACopy(long ageMillis, Random delays) {
    store.restore(store.revisionBefore(ageMillis));
    later(delays.nextInt(MAX_REWRITE_DELAY_MILLIS), this::rewriteConfiguration);
    later(delays.nextInt(MAX_REWRITE_DELAY_MILLIS), this::rewriteEvacuations);
    for (String id : ids()) {
      later(delays.nextInt(MAX_REWRITE_DELAY_MILLIS), () -> writeEntry(id));
    }
    later(ENTRY_EXPIRY_MILLIS, this::expireEntries);
  }

  private Set<String> ids() {
    Set<String> ids = new TreeSet<>(workers.keySet());
    ids.addAll(plainWorkers.keySet());
    return ids;
  }

  private void expireEntries() {
    Set<String> alive = ids();
    for (String id : store.names(WORKERS)) {
      if (!alive.contains(id)) {
        store.remove(WORKERS, id);
      }
    }
  }

  private void rewriteEvacuations() {
    for (String name : store.names(EVACUATIONS)) {
      if (!evacuated.contains(name)) {
        store.remove(EVACUATIONS, name);
      }
    }
    evacuated.forEach(name -> store.put(EVACUATIONS, name, Map.of()));
  }

  /**
   * Writes a configuration that has all former routes and one more.
   *
   * @param version the configuration's version
   * @see UsersConfiguration#pathSince
   */
  public void addRouteWith(long version) {
    changeConfiguration(ConfigurationChange.ROUTE_ADDED, version);
  }

  /**
   * Writes a configuration that differs from the former one.
   *
   * @param change what is changed
   * @param version the configuration's version
   */
  public synchronized void changeConfiguration(ConfigurationChange change, long version) {
    changes.apply(change, version);
    rewriteConfiguration();
  }

  private synchronized void rewriteConfiguration() {
    store.put(CONFIGURATION, "main", changes.configuration(models));
    if (changes.newestAddsRoute()) {
      observer.configured(changes.newestVersion());
    }
  }

  /**
   * Requests the evacuation of a data centre, or takes the request back.
   *
   * @param zone the name of the data centre
   * @param begins whether the evacuation begins
   */
  public void evacuate(String zone, boolean begins) {
    if (begins) {
      evacuated.add(zone);
      store.put(EVACUATIONS, zone, Map.of());
      observer.evacuated(zone, true);
    } else {
      evacuated.remove(zone);
      observer.evacuated(zone, false);
      store.remove(EVACUATIONS, zone);
    }
  }

  /**
   * Returns how many list pages and waiting calls for evacuations the daemons have requested.
   *
   * @return the number of calls
   */
  public int callsForEvacuations() {
    return store.pages(EVACUATIONS) + store.watches(EVACUATIONS);
  }

  /**
   * Returns the number of calls that wait for changes of the evacuations.
   *
   * @return the number of calls
   */
  public int watchersOfEvacuations() {
    return store.watching(EVACUATIONS);
  }

  /** Resets the counts of calls to the store. */
  public void countStoreCallsAnew() {
    store.calls().reset();
  }

  /**
   * Returns the number of calls to the store since the last reset.
   *
   * @return the number of calls
   */
  public long storeCalls() {
    return store.calls().total();
  }

  /**
   * Returns the highest number of calls to the store in one second since the last reset.
   *
   * @return the number of calls
   */
  public long mostStoreCallsASecond() {
    return store.calls().maxPerSecond();
  }

  /**
   * Returns how many list pages of the configuration the daemons have requested.
   *
   * @return the number of pages
   */
  public int listsOfConfiguration() {
    return store.pages(CONFIGURATION);
  }

  /**
   * Sets the page size of the store's lists; the default is five objects.
   *
   * @param objects the maximum number of objects in a page
   */
  public void pagesOf(int objects) {
    store.setPageSize(objects);
  }

  /** Makes all connections with a waiting call to the store silent, without closing them. */
  public void silenceWaitingCalls() {
    store.silenceWaiting();
  }

  /**
   * Returns the shortest wait for a newer configuration that a call has requested.
   *
   * @return the time, in milliseconds
   */
  public long shortestConfigurationWaitMillis() {
    return store.shortestWaitMillis(CONFIGURATION);
  }

  /**
   * Returns the groups that are open now.
   *
   * @return the members of each, the head first
   */
  public List<List<String>> openGroups() {
    return groups.open();
  }

  /**
   * Returns the number of calls that wait for changes of the workers' entries.
   *
   * @return the number of calls
   */
  public int watchersOfWorkers() {
    return store.watching(WORKERS);
  }

  /**
   * Returns the observed violations of the platform's invariants.
   *
   * @return one line for each violation
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns the workers that started to run a request.
   *
   * @param attempt the attempt id of the request
   * @return the workers' ids in the order of the starts
   */
  public List<String> beganAt(String attempt) {
    return List.copyOf(startsByAttempt.getOrDefault(attempt, List.of()));
  }

  /**
   * Returns how many list pages of workers the daemons have requested.
   *
   * @return the number of pages
   */
  public int pagesOfWorkers() {
    return store.pages(WORKERS);
  }

  /**
   * Returns the port of the store.
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

  GroupStates groups() {
    return groups;
  }

  void violation(String text) {
    violations.add(text);
  }

  void arrived(String attempt, String worker) {
    observer.arrived(attempt, worker);
  }

  /** Reports what a response to a request announces; one that is damaged announces nothing. */
  void answers(String attempt, String worker, Reply reply) {
    if (reply.isDamaged()) {
      return;
    }
    boolean leaving = reply.headers().containsKey("Server-Leaving");
    observer.answers(attempt, worker, WorkerBehaviour.retryAfterMillisOf(reply), leaving);
    String limit = WorkerBehaviour.limitOf(reply);
    if (limit != null) {
      observer.namesLimit(attempt, worker, limit);
    }
  }

  void began(String attempt, String worker) {
    observer.began(attempt, worker);
    startsByAttempt.computeIfAbsent(attempt, id -> new CopyOnWriteArrayList<>()).add(worker);
  }

  void publish(String worker, Object entry) {
    store.put(WORKERS, worker, entry);
  }

  WorkerObserver observer() {
    return observer;
  }

  private void later(long millis, Runnable task) {
    timer.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** Runs a worker's task after a delay, and not before the end of its silence. */
  void later(String worker, long millis, Runnable task) {
    later(
        millis,
        () -> {
          long silentMillis = silences().remainingMillis(worker);
          if (silentMillis == 0) {
            task.run();
          } else {
            later(worker, silentMillis, task);
          }
        });
  }

  @Override
  public void close() {
    timer.shutdownNow();
    store.down(true);
    servers.closeAll();
    storeServer.close();
  }
}
