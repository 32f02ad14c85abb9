package org.fawnvale.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for a worker of the users' plain service. It echoes the attempt id of each request. */
final class PlainWorker implements StandInServer.Handler {

  private static final int MISDIRECTED = 421;
  private static final long WORK_MILLIS = 20;

  private final String id;
  private final String zone;
  private final UsersPlatformStandIn platform;
  private final WorkerBehaviour behaviour = new WorkerBehaviour();
  private String address = "";
  private boolean drains;

  PlainWorker(String id, String zone, UsersPlatformStandIn platform) {
    this.id = id;
    this.zone = zone;
    this.platform = platform;
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

  synchronized void setAddress(String listens) {
    address = listens;
    publish();
  }

  /** Returns whether the worker announces in its entry or its responses that it is leaving. */
  synchronized boolean leaves() {
    return drains || behaviour.isLeaving();
  }

  /** Announces in its entry that it is draining, and keeps serving requests. */
  synchronized void drain() {
    drains = true;
    publish();
  }

  synchronized void publish() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", UsersConfiguration.PLAIN_SERVICE);
    entry.put("address", address);
    entry.put("zone", zone);
    entry.put("slots", 6);
    entry.put("state", leaves() ? "draining" : "ready");
    entry.put("cold_remaining_ms", behaviour.coldRemainingMillis());
    platform.publish(id, entry);
  }

  @Override
  public Reply handle(Call call) throws IOException {
    String expected = call.header("X-Target-Instance");
    if (expected != null && !expected.equals(id)) {
      return behaviour.complete(call, Reply.empty(MISDIRECTED).with(Map.of("X-Instance-Id", id)));
    }
    String attempt = String.valueOf(call.header("X-Attempt-Id"));
    platform.arrived(attempt, id);
    Reply refusal = behaviour.rejection();
    Reply reply = behaviour.complete(call, refusal == null ? run(attempt) : refusal);
    platform.answers(attempt, id, reply);
    return reply;
  }

  private Reply run(String attempt) throws IOException {
    platform.began(attempt, id);
    GroupWorker.pause(WORK_MILLIS);
    if (behaviour.dropsNextResponse()) {
      throw new IOException("the response is dropped");
    }
    Map<String, String> headers =
        Map.of(UsersConfiguration.ATTEMPT_HEADER, attempt, UsersConfiguration.SIGNATURE_HEADER, id);
    Reply faulty = behaviour.nextFaultyAnswer();
    if (faulty != null) {
      return faulty.with(headers);
    }
    Reply reply = Reply.json(200, Map.of("attempt", attempt)).with(headers);
    return behaviour.endsNextWithConnection() ? reply.endingWithConnection() : reply;
  }
}
