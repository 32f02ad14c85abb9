package org.fawnvale.serving.core.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** From a request's id to its timeline and likely cause; the lines are as daemons write them. */
class RequestTimelineTest {

  private final List<LogLine> log = new ArrayList<>();

  private void line(String time, String daemon, String component, String message) {
    log.add(new LogLine(time, daemon, component, message));
  }

  private RequestTimeline timeline(String id) {
    Collections.reverse(log);
    return RequestTimeline.of(id, log);
  }

  @Test
  void timelineOfAStreamWhoseGroupStalledCoversAllDaemonsInOrder() {
    line("10.0", "edge-1", "gateway", "request=r1 sent_to=i-a route=x why=first");
    line("10.1", "edge-1", "gateway", "request=r2 sent_to=i-b route=x why=first");
    line("10.4", "edge-2", "gateway", "node=i-a outcome=stands_still silent_ms=179");
    line("10.5", "edge-3", "formation", "group=edge-3-k-1-4~i-a epoch=7 dissolved reason=x");
    line(
        "10.6",
        "edge-1",
        "gateway",
        "request=r1 status=502 reason=every upstream is full node=i-a");
    line("11.0", "edge-3", "formation", "node=i-a order=JOIN outcome=BEGUN");
    RequestTimeline timeline = timeline("r1");
    assertThat(timeline.lines())
        .extracting(LogLine::time)
        .containsExactly("10.0", "10.4", "10.5", "10.6");
    assertThat(timeline.cause()).isEqualTo(LikelyCause.MEMBER_LOST);
  }

  @Test
  void refusalWithAllUpstreamsFullIsOverload() {
    line(
        "10.0",
        "edge-1",
        "gateway",
        "request=r1 status=503 reason=every upstream is full node=null");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.OVERLOAD);
  }

  @Test
  void requestThatWaitedIsNoPlainOverload() {
    assertThat(causeOfRefusal("r1", "every upstream is full node=null waited=1500"))
        .isEqualTo(LikelyCause.WAITED);
    line("10.0", "edge-1", "gateway", "request=r2 status=200 reason=complete node=a waited=70");
    assertThat(timeline("r2").cause()).isEqualTo(LikelyCause.WAITED);
    assertThat(causeOfRefusal("r3", "data centre evacuated node=null waited=80"))
        .isEqualTo(LikelyCause.EVACUATED);
  }

  private LikelyCause causeOfRefusal(String request, String reason) {
    line("10.0", "edge-1", "gateway", "request=" + request + " status=503 reason=" + reason);
    return timeline(request).cause();
  }

  @Test
  void answerThatWasNotDeliveredIsNotTakenForServed() {
    line("10.0", "edge-1", "gateway", "request=r1 status=200 reason=complete node=i-a events=9");
    line(
        "10.1",
        "edge-1",
        "gateway",
        "request=r1 status=0 reason=answer not delivered: caller left unsent_bytes=70");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.NOT_DELIVERED);
    line("10.0", "edge-1", "gateway", "request=r2 status=0 reason=daemon exits node=i-a events=9");
    assertThat(timeline("r2").cause()).isEqualTo(LikelyCause.DAEMON_EXITED);
  }

  @Test
  void refusalForAnEvacuationIsNoOverload() {
    assertThat(causeOfRefusal("r1", "data centre evacuated node=null"))
        .isEqualTo(LikelyCause.EVACUATED);
    assertThat(causeOfRefusal("r2", "evacuations not known yet node=null"))
        .isEqualTo(LikelyCause.DAEMON_STARTING_OR_STOPPING);
  }

  @Test
  void refusalThatNodesAskedForIsNoOverload() {
    assertThat(causeOfRefusal("r1", "every upstream is at its limit node=null"))
        .isEqualTo(LikelyCause.AT_LIMITS);
    assertThat(causeOfRefusal("r4", "every upstream is cold node=null"))
        .isEqualTo(LikelyCause.COLD);
    assertThat(causeOfRefusal("r2", "every upstream rests or was tried node=null"))
        .isEqualTo(LikelyCause.PAUSED);
    assertThat(causeOfRefusal("r3", "ends the nodes that run it node=null"))
        .isEqualTo(LikelyCause.QUARANTINED);
  }

  @Test
  void failureAfterABrokenConnectionIsConnectionBroken() {
    line("10.0", "edge-1", "gateway", "request=r1 sent_to=i-a why=first");
    line("10.1", "edge-1", "gateway", "request=r1 node=i-a failure=BROKEN cause=Connection reset");
    line("10.2", "edge-1", "gateway", "request=r1 status=502 reason=connection broken node=i-a");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.CONNECTION_BROKEN);
  }

  /** Guards against a late answer that looks like an unexplained timeout. */
  @Test
  void timeoutAtASlowGroupIsASlowGroup() {
    line("09.0", "edge-2", "pace", "node=i-a pace=6.1 outcome=slow");
    line("10.0", "edge-1", "gateway", "request=r1 sent_to=i-a why=first");
    line("10.5", "edge-1", "gateway", "request=r2 sent_to=i-b why=first");
    line("12.1", "edge-1", "gateway", "request=r1 status=504 reason=timeout node=i-a");
    line("12.2", "edge-1", "gateway", "request=r2 status=504 reason=timeout node=i-b");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.SLOW_GROUP);
    assertThat(timeline("r2").cause()).isEqualTo(LikelyCause.TIMED_OUT);
  }

  @Test
  void missingRouteIsNotAllowed() {
    line("10.0", "edge-1", "gateway", "request=r1 status=404 reason=no route, configuration 4");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.NOT_ALLOWED);
  }

  @Test
  void requestWithoutAnEndIsUnknown() {
    line("10.0", "edge-1", "gateway", "request=r1 sent_to=i-a why=first");
    assertThat(timeline("r1").cause()).isEqualTo(LikelyCause.UNKNOWN);
  }

  @Test
  void requestThatNoLineNamesHasNoTimeline() {
    line("10.0", "edge-1", "gateway", "request=r10 sent_to=i-a why=first");
    assertThat(timeline("r1")).isNull();
  }

  @Test
  void valuesMayContainSpaces() {
    LogLine line = new LogLine("1", "d", "gateway", "request=r1 reason=caller left node=null");
    assertThat(line.value("reason")).isEqualTo("caller left");
    assertThat(line.value("absent")).isNull();
  }
}
