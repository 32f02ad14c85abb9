package org.fawnvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.result.Result;
import org.fawnvale.serving.core.explain.LogLine;
import org.fawnvale.serving.core.explain.LogSummary;
import org.fawnvale.serving.core.explain.RequestTimeline;
import org.jspecify.annotations.Nullable;

/** Reconstructs the timeline of a request, or a summary per interval, from daemon logs. */
final class ExplainCommand {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DEFAULT_SPAN_SECONDS = 2;
  private static final int MAX_SPAN_SECONDS = 3_600;

  private ExplainCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser explain =
        subparsers
            .addParser("explain")
            .help("print the timeline of one request from the daemons' logs")
            .description(
                "Reads the JSON logs of several daemons and prints, in order, what happened to a "
                    + "request and to the nodes that it was sent to, with the likely cause of its "
                    + "end. Exits with 1 when no line names the request.")
            .epilog("Example: fawnvale explain 9c41d07be2a35f68 edge-1.log edge-2.log");
    explain.addArgument("request").help("the request's id");
    explain
        .addArgument("file")
        .nargs("+")
        .help("daemon logs; text before the JSON is taken as the daemon's name");
    explain.setDefault("command", "explain");
    commands.put("explain", ExplainCommand::run);
  }

  static void addDayTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser day =
        subparsers
            .addParser("explain-day")
            .help("summarize the daemons' logs per interval")
            .description(
                "Reads the JSON logs of all daemons and prints for each interval: the groups "
                    + "of each model, the load of those that received requests (median and "
                    + "90th percentile), late first events, and refusals by reason.")
            .epilog("Example: fawnvale explain-day --seconds 2 edge-1.log edge-2.log");
    day.addArgument("file")
        .nargs("+")
        .help("daemon logs; text before the JSON is taken as the daemon's name");
    day.addArgument("--seconds")
        .type(Integer.class)
        .choices(Arguments.range(1, MAX_SPAN_SECONDS))
        .setDefault(DEFAULT_SPAN_SECONDS)
        .help("the length of an interval, in seconds");
    day.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    day.setDefault("command", "explain-day");
    commands.put("explain-day", ExplainCommand::runDay);
  }

  private static ExitCode runDay(Namespace options, Console console) {
    List<LogLine> lines = new ArrayList<>();
    ExitCode failure = readAll(options.getList("file"), lines, console);
    if (failure != null) {
      return failure;
    }
    LogSummary summary = LogSummary.of(lines, options.getInt("seconds"));
    if (summary.spans().isEmpty()) {
      console
          .err()
          .println(
              "fawnvale: the files contain no daemon log lines. Give the logs of all daemons.");
      return ExitCode.REFUSED;
    }
    if (Boolean.TRUE.equals(options.getBoolean("json"))) {
      console.line(JSON.valueToTree(summary.spans()).toString());
    } else {
      summary.spans().forEach(span -> console.line(row(span)));
    }
    return ExitCode.DONE;
  }

  private static String row(LogSummary.Span span) {
    List<String> cells = new ArrayList<>();
    cells.add(span.from());
    span.models()
        .forEach(
            (name, model) ->
                cells.add(
                    String.format(
                        Locale.ROOT,
                        "%s groups=%d load=%.2f/%.2f sent=%d late=%d",
                        name,
                        model.groups(),
                        model.medianLoad(),
                        model.highLoad(),
                        model.sent(),
                        model.lateFirst())));
    cells.add("moved=" + span.moved() + " stalls=" + span.stalls());
    cells.add("refused=" + span.refusals());
    return String.join("  ", cells);
  }

  private static ExitCode run(Namespace options, Console console) {
    List<LogLine> lines = new ArrayList<>();
    ExitCode unreadable = readAll(options.getList("file"), lines, console);
    if (unreadable != null) {
      return unreadable;
    }
    String id = options.getString("request");
    RequestTimeline timeline = RequestTimeline.of(id, lines);
    if (timeline == null) {
      console
          .err()
          .println("fawnvale: no line names request " + id + ". Give the logs of all daemons.");
      return ExitCode.REFUSED;
    }
    for (LogLine line : timeline.lines()) {
      console.line(
          String.join(
              " ", line.time(), line.daemon(), "[" + line.component() + "]", line.message()));
    }
    console.line("Likely cause: " + timeline.cause().sentence());
    return ExitCode.DONE;
  }

  private static @Nullable ExitCode readAll(
      List<String> files, List<LogLine> lines, Console console) {
    for (String file : files) {
      Result<String> text = Files.read(file);
      if (text instanceof Result.Failure<String> failure) {
        console.print(List.of(failure.problem()));
        return ExitCode.BAD_USAGE;
      }
      read(file, text.fold(each -> each, problem -> ""), lines);
    }
    return null;
  }

  private static void read(String file, String text, List<LogLine> lines) {
    String name = Path.of(file).getFileName().toString();
    text.lines()
        .forEach(
            line -> {
              LogLine read = line(name, line);
              if (read != null) {
                lines.add(read);
              }
            });
  }

  /** Parses a log line; returns null for lines that a daemon did not write. */
  private static @Nullable LogLine line(String file, String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return null;
    }
    try {
      JsonNode json = JSON.readTree(line.substring(begin));
      String before = line.substring(0, begin).trim();
      String daemon = before.isEmpty() ? file : before;
      boolean hasRequiredFields = json.path("t").isTextual() && json.path("msg").isTextual();
      return hasRequiredFields
          ? new LogLine(
              json.path("t").asText(),
              daemon,
              json.path("part").asText(),
              json.path("msg").asText())
          : null;
    } catch (JsonProcessingException e) {
      return null;
    }
  }
}
