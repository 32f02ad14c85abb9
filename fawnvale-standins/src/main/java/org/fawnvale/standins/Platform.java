package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.fawnvale.core.model.Node;

/** Stand-in for the platform: versioned objects with watches, and the list of nodes. */
final class Platform implements StandInServer.Handler {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final String OBJECTS = "/objects/";

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Map<String, Stored> objects = new TreeMap<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final RateWindow writes;
  private final RateWindow reads;
  private long revision;
  private volatile boolean inOutage;
  private volatile long delayMillis;
  private int responsesToDrop;

  private record Stored(String name, long version, byte[] value) {}

  Platform(long writesPerSecond, long readsPerSecond, List<Node> nodes) {
    this.writes = new RateWindow(writesPerSecond);
    this.reads = new RateWindow(readsPerSecond);
    nodes.forEach(node -> this.nodes.put(node.name(), node));
  }

  @Override
  public Reply handle(Call call) throws IOException {
    if (call.path().startsWith("/control")) {
      return control(call);
    }
    if (inOutage) {
      throw new IOException("outage");
    }
    pause(delayMillis);
    boolean isWrite = "PUT".equals(call.method());
    if (!(isWrite ? writes : reads).tryAcquire()) {
      return Reply.empty(TOO_MANY);
    }
    if (call.path().startsWith(OBJECTS)) {
      String name = call.path().substring(OBJECTS.length());
      return isWrite ? put(name, call) : get(name);
    }
    if ("/watch".equals(call.path())) {
      return watch(call);
    }
    if ("/nodes".equals(call.path())) {
      return listNodes(call.query().getOrDefault("dataCentre", ""));
    }
    return Reply.empty(NOT_FOUND);
  }

  private Reply get(String name) {
    lock.lock();
    try {
      Stored stored = objects.get(name);
      return stored == null ? Reply.empty(NOT_FOUND) : Reply.json(OK, stored);
    } finally {
      lock.unlock();
    }
  }

  private Reply put(String name, Call call) throws IOException {
    lock.lock();
    try {
      Stored stored = objects.get(name);
      long version = stored == null ? 0 : stored.version();
      if (version != call.number("version", 0)) {
        return Reply.empty(CONFLICT);
      }
      revision++;
      objects.put(name, new Stored(name, revision, call.body()));
      changed.signalAll();
      if (responsesToDrop > 0) {
        responsesToDrop--;
        throw new IOException("the response is dropped after the write took effect");
      }
      return Reply.json(OK, Map.of("version", revision));
    } finally {
      lock.unlock();
    }
  }

  private Reply watch(Call call) throws IOException {
    String prefix = call.query().getOrDefault("prefix", "");
    long since = call.number("since", 0);
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(call.number("wait", 0));
    lock.lock();
    try {
      List<Stored> found = newer(prefix, since);
      while (found.isEmpty() && remainingNanos > 0) {
        remainingNanos = changed.awaitNanos(remainingNanos);
        if (inOutage) {
          throw new IOException("outage");
        }
        found = newer(prefix, since);
      }
      return Reply.json(OK, Map.of("revision", revision, "objects", found));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    } finally {
      lock.unlock();
    }
  }

  private List<Stored> newer(String prefix, long since) {
    List<Stored> found = new ArrayList<>();
    for (Stored stored : objects.values()) {
      if (stored.version() > since && stored.name().startsWith(prefix)) {
        found.add(stored);
      }
    }
    return found;
  }

  private Reply listNodes(String dataCentre) {
    lock.lock();
    try {
      return Reply.json(
          OK,
          nodes.values().stream().filter(node -> node.dataCentre().equals(dataCentre)).toList());
    } finally {
      lock.unlock();
    }
  }

  private Reply control(Call call) throws IOException {
    if ("GET".equals(call.method())) {
      return Reply.json(
          OK,
          Map.of(
              "writes", writes.total(),
              "reads", reads.total(),
              "writesRefused", writes.refused(),
              "readsRefused", reads.refused(),
              "revision", revision));
    }
    JsonNode order = Json.tree(call.body());
    lock.lock();
    try {
      switch (order.path("fault").asText()) {
        case "outage" -> inOutage = true;
        case "slow" -> delayMillis = order.path("millis").asLong();
        case "drop-answers" -> responsesToDrop = order.path("count").asInt();
        case "none" -> {
          inOutage = false;
          delayMillis = 0;
          responsesToDrop = 0;
        }
        case "leaving" -> leaving(order.path("node").asText());
        case "remove" -> nodes.remove(order.path("node").asText());
        case "add" -> add(Json.MAPPER.treeToValue(order.path("node"), Node.class));
        default -> {
          return Reply.empty(NOT_FOUND);
        }
      }
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return Reply.empty(OK);
  }

  private void add(Node node) {
    nodes.put(node.name(), node);
  }

  private void leaving(String name) {
    Node node = nodes.get(name);
    if (node != null) {
      add(
          new Node(
              node.name(),
              node.dataCentre(),
              node.domain(),
              node.address(),
              node.path(),
              node.service(),
              true));
    }
  }

  static void pause(long millis) throws IOException {
    if (millis <= 0) {
      return;
    }
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
