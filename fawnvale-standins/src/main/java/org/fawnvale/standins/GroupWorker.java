package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for a model worker of the users' platform. It executes group orders, publishes its state
 * in the store, and streams events while all members of its group are alive. It reports each
 * violation of an invariant to {@link UsersPlatformStandIn#violation}.
 */
final class GroupWorker implements StandInServer.Handler {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final int FENCED = 412;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;
  private static final int JOIN_MILLIS = 60;
  private static final int EVENT_MILLIS = 25;
  private static final int EVENTS_BEFORE_DROP = 5;

  /** The time from the beginning of an answer to a crash that a prompt part causes. */
  private static final int CRASH_MILLIS = 40;

  /** Large against the buffers of connections, and of a daemon for one caller. */
  private static final int LARGE_EVENT_BYTES = 1 << 20;

  private static final int STALL_MILLIS = 4_000;
  private static final Map<String, String> NOT_EXECUTED_HEADER = Map.of("X-Not-Executed", "1");

  private final String id;
  private final String zone;
  private final UsersPlatformStandIn platform;
  private @Nullable String model;
  private List<String> staged = List.of();
  private @Nullable Place place;
  private final Set<String> readyGroups = new HashSet<>();
  private long orders;
  private long highestFence;
  private long highestEpoch;
  private boolean alive = true;
  private final WorkerBehaviour behaviour = new WorkerBehaviour();
  private boolean draining;
  private int streams;
  private long born = System.currentTimeMillis();
  private String address = "";

  private record Place(String group, long epoch, List<String> members, String state) {
    Place in(String newState) {
      return new Place(group, epoch, members, newState);
    }

    boolean is(String name, long number) {
      return group.equals(name) && epoch == number;
    }
  }

  GroupWorker(String id, String zone, UsersPlatformStandIn platform) {
    this.id = id;
    this.zone = zone;
    this.platform = platform;
  }

  synchronized void setAddress(String listens) {
    address = listens;
    publish();
  }

  synchronized void die() {
    alive = false;
    notifyAll();
  }

  /** Starts a new incarnation under the same id. Only the staged weights are kept. */
  synchronized void restart() {
    alive = true;
    draining = false;
    behaviour.restart();
    born = Math.max(born + 1, System.currentTimeMillis());
    place = null;
    model = null;
    orders = 0;
    highestFence = 0;
    highestEpoch = 0;
  }

  String id() {
    return id;
  }

  boolean isIn(String dataCentre) {
    return zone.equals(dataCentre);
  }

  WorkerBehaviour behaviour() {
    return behaviour;
  }

  synchronized boolean isAlive() {
    return alive;
  }

  synchronized void drain() {
    draining = true;
    publish();
  }

  /** Returns the members of the open group that this worker heads; empty if there is none. */
  List<String> serves() {
    ServingGroup group = servingGroup();
    return group == null || !isAlive() ? List.of() : group.members();
  }

  /** Returns the open group that this worker heads or headed when it crashed; null for none. */
  synchronized @Nullable ServingGroup servingGroup() {
    Place now = place;
    boolean heads = now != null && now.members().get(0).equals(id) && "open".equals(now.state());
    return heads ? new ServingGroup(now.group(), now.epoch(), now.members()) : null;
  }

  /** Returns whether this worker is alive and is in the state "open" in the group. */
  synchronized boolean heads(String group) {
    Place now = place;
    boolean open = now != null && now.group().equals(group) && "open".equals(now.state());
    return open && alive;
  }

  synchronized boolean isIn(String group, long epoch) {
    Place now = place;
    return now != null && now.is(group, epoch) && !"joining".equals(now.state());
  }

  /** Returns whether this worker was ready in a group, in this incarnation or an earlier one. */
  synchronized boolean wasReadyIn(String group, long epoch) {
    return readyGroups.contains(group + "@" + epoch);
  }

  @Override
  public Reply handle(Call call) throws IOException {
    if (!isAlive()) {
      throw new IOException("the worker has crashed");
    }
    String expected = call.header("X-Target-Instance");
    if (expected != null && !expected.equals(id)) {
      return behaviour.complete(call, Reply.empty(MISDIRECTED).with(Map.of("X-Instance-Id", id)));
    }
    return answer(call);
  }

  private Reply answer(Call call) throws IOException {
    return switch (call.path()) {
      case "/v1/report" -> behaviour.complete(call, reportOrEndless());
      case "/v1/order" -> behaviour.complete(call, observedOrder(Json.tree(call.body())));
      default -> request(call);
    };
  }

  private Reply reportOrEndless() {
    return behaviour.sendsNextWithoutEnd() ? EndlessAnswers.next() : report();
  }

  private synchronized Reply report() {
    Map<String, Object> body = new LinkedHashMap<>(state());
    body.put("sequence", orders);
    body.put("born", born);
    return Reply.json(OK, body);
  }

  /** Executes an order and reports a group that it opens or ends, and a violation. */
  private Reply observedOrder(JsonNode order) {
    boolean leavesOpenGroup = leavesOpenGroupToJoin(order);
    ServingGroup before = servingGroup();
    boolean whole =
        before != null
            && platform.groups().isWhole(before.members(), before.name(), before.epoch());
    Reply reply = order(order);
    ServingGroup after = servingGroup();
    if (leavesOpenGroup && reply.status() == ACCEPTED) {
      platform.violation(
          id + " joins another group while the head of its present group serves: " + order);
    }
    if (before != null && !before.equals(after)) {
      platform.observer().groupEnded(before, whole);
    }
    if (after != null && !after.equals(before)) {
      platform.observer().groupOpened(after);
    }
    return reply;
  }

  private synchronized Reply order(JsonNode order) {
    long fence = order.path("fencing_token").asLong();
    if (fence < highestFence) {
      return Reply.empty(FENCED);
    }
    highestFence = fence;
    if (order.has("expected_revision") && order.path("expected_revision").asLong() != orders) {
      return Reply.empty(CONFLICT);
    }
    String group = order.path("group").asText();
    long epoch = order.path("epoch").asLong();
    return switch (order.path("operation").asText()) {
      case "phase" -> stage(order.path("model").asText());
      case "join" -> join(order, group, epoch);
      case "open" -> change(group, epoch, "open");
      case "close" -> close(group, epoch);
      case "leave" -> leave(group, epoch);
      default -> Reply.empty(400);
    };
  }

  /** Returns whether an order to join, if accepted, would remove this worker from an open group. */
  private boolean leavesOpenGroupToJoin(JsonNode order) {
    Place before;
    synchronized (this) {
      before = place;
    }
    boolean moves =
        before != null
            && "join".equals(order.path("operation").asText())
            && !before.is(order.path("group").asText(), order.path("epoch").asLong());
    return moves && platform.groups().isOpen(before.members().get(0), before.group());
  }

  private Reply stage(String wanted) {
    orders++;
    platform.later(
        id,
        JOIN_MILLIS,
        () -> {
          synchronized (this) {
            staged = List.of(wanted);
            publish();
          }
        });
    return Reply.empty(ACCEPTED);
  }

  private Reply join(JsonNode order, String group, long epoch) {
    if (epoch < highestEpoch) {
      return Reply.empty(FENCED);
    }
    Place before = place;
    if (before != null && before.is(group, epoch)) {
      return Reply.empty(OK);
    }
    List<String> members = new ArrayList<>();
    order.path("members").forEach(member -> members.add(member.asText()));
    highestEpoch = epoch;
    orders++;
    place = new Place(group, epoch, List.copyOf(members), "joining");
    model = order.path("model").asText();
    staged = List.of(order.path("model").asText());
    publish();
    platform.later(id, JOIN_MILLIS, () -> become(group, epoch, "joining", "ready"));
    return Reply.empty(ACCEPTED);
  }

  private synchronized void become(String group, long epoch, String from, String to) {
    Place now = place;
    if (now != null && now.is(group, epoch) && now.state().equals(from)) {
      place = now.in(to);
      readyGroups.add(group + "@" + epoch);
      publish();
    }
  }

  private Reply change(String group, long epoch, String to) {
    Place now = place;
    if (now == null || !now.is(group, epoch) || "joining".equals(now.state())) {
      return Reply.empty(CONFLICT);
    }
    if (now.state().equals(to)) {
      return Reply.empty(OK);
    }
    orders++;
    place = now.in(to);
    publish();
    return Reply.empty(ACCEPTED);
  }

  /** Takes no more requests; the group is ready once those under way have ended. */
  private Reply close(String group, long epoch) {
    Place now = place;
    boolean drains = streams > 0 && now != null && !"ready".equals(now.state());
    return change(group, epoch, drains ? "closing" : "ready");
  }

  private synchronized void streamBegun() {
    streams++;
  }

  private synchronized void streamEnded() {
    streams--;
    Place now = place;
    if (streams == 0 && now != null) {
      become(now.group(), now.epoch(), "closing", "ready");
    }
  }

  private Reply leave(String group, long epoch) {
    Place now = place;
    if (now == null || !now.is(group, epoch)) {
      return Reply.empty(OK);
    }
    orders++;
    place = null;
    publish();
    return Reply.empty(ACCEPTED);
  }

  private Reply request(Call call) throws IOException {
    String attempt = String.valueOf(call.header("X-Attempt-Id"));
    platform.arrived(attempt, id);
    Reply refusal = behaviour.rejection();
    Reply reply = behaviour.complete(call, refusal == null ? run(call, attempt) : refusal);
    platform.answers(attempt, id, reply);
    return reply;
  }

  private Reply run(Call call, String attempt) throws IOException {
    Place now;
    synchronized (this) {
      now = place;
    }
    if (now == null || !now.members().get(0).equals(id) || !"open".equals(now.state())) {
      return Reply.empty(UNAVAILABLE).with(NOT_EXECUTED_HEADER);
    }
    if (!platform.groups().wasWhole(now.members(), now.group(), now.epoch())) {
      platform.violation(
          attempt + " begins in " + now.group() + ", which never had all members ready");
    }
    platform.began(attempt, id);
    return answer(call, attempt, now);
  }

  private Reply answer(Call call, String attempt, Place now) throws IOException {
    Reply faulty = behaviour.nextFaultyAnswer();
    if (faulty != null) {
      return faulty.with(headersOf(attempt));
    }
    if (platform.crashing().hasBody(new String(call.body(), StandardCharsets.UTF_8))) {
      die();
      platform.ended(attempt, id);
      throw new IOException("the worker has crashed");
    }
    if (platform.crashing().hasPartOf(call.header(UsersConfiguration.PARTS_HEADER))) {
      return Reply.events(out -> crashWhileAnswering(out, attempt)).with(headersOf(attempt));
    }
    String last = call.header("Last-Event-Id");
    int from = last == null ? 0 : Integer.parseInt(last);
    boolean large =
        new String(call.body(), StandardCharsets.UTF_8)
            .startsWith(UsersConfiguration.LARGE_BODY_PREFIX);
    String padding = large ? "x".repeat(LARGE_EVENT_BYTES) : "";
    Reply.Stream stream =
        out -> {
          streamBegun();
          try {
            stream(out, attempt, from, now, padding);
          } finally {
            streamEnded();
          }
        };
    Reply events = Reply.events(stream).with(headersOf(attempt));
    return behaviour.endsNextWithConnection() ? events.endingWithConnection() : events;
  }

  private Map<String, String> headersOf(String attempt) {
    return Map.of(
        UsersConfiguration.ATTEMPT_HEADER, attempt, UsersConfiguration.SIGNATURE_HEADER, id);
  }

  /** Sends the head of the answer only. */
  private void crashWhileAnswering(OutputStream out, String attempt) throws IOException {
    out.flush();
    pause(CRASH_MILLIS);
    die();
    platform.ended(attempt, id);
    throw new IOException("the worker has crashed");
  }

  private void stream(OutputStream out, String attempt, int from, Place group, String padding)
      throws IOException {
    int dropAt =
        behaviour.dropsNextResponse()
            ? (from + EVENTS_BEFORE_DROP) % UsersConfiguration.EVENTS
            : -1;
    int breakOffAt =
        behaviour.breaksOffNextStream()
            ? 1 + (from + EVENTS_BEFORE_DROP) % UsersConfiguration.EVENTS
            : -1;
    for (int event = from + 1; event <= UsersConfiguration.EVENTS; event++) {
      pause(EVENT_MILLIS);
      if (!isAlive()) {
        throw new IOException("the worker has crashed");
      }
      if (event == dropAt) {
        throw new IOException("the response is dropped");
      }
      if (!platform.groups().isWhole(group.members(), group.group(), group.epoch())) {
        pause(STALL_MILLIS);
        throw new IOException("a member of the group is missing");
      }
      if (event == breakOffAt) {
        out.write(("id: " + event + "\nda").getBytes(StandardCharsets.UTF_8));
        return;
      }
      out.write(
          ("id: " + event + "\ndata: " + event + padding + "\n\n")
              .getBytes(StandardCharsets.UTF_8));
      out.flush();
      platform.passed(attempt, event, group.members());
    }
  }

  static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private Map<String, Object> state() {
    Map<String, Object> state = new LinkedHashMap<>();
    state.put("models", model == null ? List.of() : List.of(Map.of("name", model, "version", 1)));
    state.put("staged", staged);
    Place now = place;
    if (now != null) {
      state.put(
          "group",
          Map.of(
              "name",
              now.group(),
              "epoch",
              now.epoch(),
              "rank",
              now.members().indexOf(id),
              "state",
              now.state()));
    }
    return state;
  }

  synchronized void publish() {
    Map<String, Object> entry = new LinkedHashMap<>(state());
    entry.put("service", UsersConfiguration.SERVICE);
    entry.put("address", address);
    entry.put("zone", zone);
    entry.put("domain", zone);
    entry.put("slots", 4);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("born", born);
    entry.put("cold_remaining_ms", behaviour.coldRemainingMillis());
    platform.publish(id, entry);
  }
}
