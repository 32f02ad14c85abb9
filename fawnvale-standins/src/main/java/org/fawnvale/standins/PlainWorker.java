package org.fawnvale.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for a worker of a plain service of the users' platform: one answer for a request. */
final class PlainWorker implements StandInServer.Handler {

  private static final int MISDIRECTED = 421;
  private static final long WORK_MILLIS = 20;

  private final String id;
  private final String zone;
  private final UsersPlatformStandIn platform;
  private final WorkerMood mood = new WorkerMood();
  private String address = "";
  private boolean drains;

  PlainWorker(String id, String zone, UsersPlatformStandIn platform) {
    this.id = id;
    this.zone = zone;
    this.platform = platform;
  }

  WorkerMood mood() {
    return mood;
  }

  synchronized void listensAt(String listens) {
    address = listens;
    publish();
  }

  /** Tells whether it has said that it leaves, in its entry or in its answers. */
  synchronized boolean leaves() {
    return drains || mood.isLeaving();
  }

  /** Says in its entry that it leaves, and serves on. */
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
    platform.publish(id, entry);
  }

  @Override
  public Reply handle(Call call) throws IOException {
    String expected = call.header("X-Target-Instance");
    if (expected != null && !expected.equals(id)) {
      return Reply.empty(MISDIRECTED).with(Map.of("X-Instance-Id", id));
    }
    String attempt = String.valueOf(call.header("X-Attempt-Id"));
    platform.arrived(attempt, id);
    Reply refusal = mood.turnedAway();
    Reply reply = mood.said(refusal == null ? run(attempt) : refusal);
    platform.answers(attempt, id, reply);
    return reply;
  }

  private Reply run(String attempt) throws IOException {
    platform.began(attempt, id);
    GroupWorker.pause(WORK_MILLIS);
    if (mood.losesNext()) {
      throw new IOException("the answer is lost");
    }
    return Reply.json(200, Map.of("attempt", attempt))
        .with(
            Map.of(
                UsersConfiguration.ATTEMPT_HEADER,
                attempt,
                UsersConfiguration.SIGNATURE_HEADER,
                id));
  }
}
