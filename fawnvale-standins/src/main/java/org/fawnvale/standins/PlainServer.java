package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a plain service: it creates a numbered booking for each request. */
final class PlainServer implements StandInServer.Handler {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final String name;
  private final long workMillis;
  private final Faults faults = new Faults();
  private final RunCounts counts = new RunCounts();
  private final AtomicLong bookings = new AtomicLong();

  PlainServer(String name, long workMillis) {
    this.name = name;
    this.workMillis = workMillis;
  }

  @Override
  public Reply handle(Call call) throws IOException {
    if ("/control".equals(call.path())) {
      return control(call);
    }
    faults.enter();
    String hop = call.header(Engine.HOP);
    Map<String, String> echo = hop == null ? Map.of() : Map.of(Engine.HOP, hop);
    if ("/health".equals(call.path())) {
      return Reply.json(OK, Map.of("service", name)).with(echo);
    }
    if (faults.takeRefusal()) {
      Map<String, String> headers = new LinkedHashMap<>(echo);
      headers.put(Engine.NOT_RUN, "1");
      headers.put("Retry-After", "1");
      return Reply.empty(UNAVAILABLE).with(headers);
    }
    counts.recordStart(String.valueOf(call.header(Engine.REQUEST)));
    Platform.pause(workMillis);
    if (faults.takeDrop()) {
      throw new IOException("the response is dropped after the call took effect");
    }
    if (faults.takeFalsePromise()) {
      return Reply.empty(UNAVAILABLE).with(echo);
    }
    Map<String, Object> answer =
        Map.of(
            "service",
            name,
            "path",
            call.path(),
            "booking",
            bookings.incrementAndGet(),
            "asked",
            new String(call.body(), StandardCharsets.UTF_8));
    return Reply.json(OK, answer)
        .with(faults.takeSwap() ? Map.of(Engine.HOP, "somebody:else") : echo);
  }

  private Reply control(Call call) throws IOException {
    if ("GET".equals(call.method())) {
      return Reply.json(OK, counts.toMap());
    }
    JsonNode order = Json.tree(call.body());
    faults.set(order);
    return Reply.empty(OK);
  }
}
