package org.fawnvale.serving.core.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Summaries of log lines as daemons write them. */
class LogSummaryTest {

  private final List<LogLine> log = new ArrayList<>();

  private void line(String time, String message) {
    log.add(new LogLine(time, "edge-1", "gateway", message));
  }

  private List<LogSummary.Span> spans() {
    Collections.reverse(log);
    return LogSummary.of(log, 2).spans();
  }

  @Test
  void reportsLoadsAndLateFirstEventsByModel() {
    line("10:00:00.100", "group=edge-1-k-1-4~i-a serves model=large");
    line("10:00:00.200", "request=r1 sent_to=i-a route=x why=first claim=FIRST load=0.20");
    line("10:00:00.300", "request=r2 sent_to=i-a route=x why=first claim=FIRST load=0.40");
    line("10:00:00.400", "request=r3 sent_to=i-a route=x why=upstream stands still load=0.60");
    line("10:00:01.900", "request=r1 node=i-a first_piece_ms=700 outcome=late");
    LogSummary.Span span = spans().get(0);
    assertThat(span.from()).isEqualTo("10:00");
    assertThat(span.models())
        .containsOnlyKeys("large")
        .containsEntry("large", new LogSummary.ModelSpan(1, 3, 0.40, 0.60, 1));
    assertThat(span.moved()).isEqualTo(1);
  }

  @Test
  void groupsCountInLaterSpansUntilTheyAreDissolved() {
    line("10:00:00.100", "group=edge-1-k-1-4~i-a serves model=large");
    line("10:00:02.100", "request=r1 sent_to=i-a why=first load=0.20");
    line("10:00:04.100", "group=edge-1-k-1-4~i-a epoch=3 dissolved reason=its head stands still");
    assertThat(spans())
        .extracting(span -> span.models().get("large").groups())
        .containsExactly(1, 1, 0);
  }

  @Test
  void countsRefusalsByReasonAndStalls() {
    line("10:00:00.100", "request=r1 status=503 reason=every upstream is full node=null events=0");
    line("10:00:00.200", "request=r2 status=503 reason=no upstream serves node=null events=0");
    line("10:00:00.300", "request=r3 status=503 reason=every upstream is full node=null events=0");
    line("10:00:00.400", "node=i-a outcome=stands_still silent_ms=300");
    LogSummary.Span span = spans().get(0);
    assertThat(span.refusals())
        .containsEntry("every upstream is full", 2)
        .containsEntry("no upstream serves", 1);
    assertThat(span.stalls()).isEqualTo(1);
  }

  @Test
  void ignoresLinesWithoutATimeOfDay() {
    line("yesterday", "group=edge-1-k-1-4~i-a serves model=large");
    assertThat(spans()).isEmpty();
  }
}
