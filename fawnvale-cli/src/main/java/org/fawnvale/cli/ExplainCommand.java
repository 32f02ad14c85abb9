package org.fawnvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.result.Result;
import org.fawnvale.serving.core.explain.LogLine;
import org.fawnvale.serving.core.explain.RequestStory;
import org.jspecify.annotations.Nullable;

/** Tells the story of one request from the logs of several daemons. */
final class ExplainCommand {

  private static final ObjectMapper JSON = new ObjectMapper();

  private ExplainCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser explain =
        subparsers
            .addParser("explain")
            .help("tell the story of one request from the daemons' logs")
            .description(
                "Reads the JSON lines of several daemons and prints, in order, what happened to a "
                    + "request and to the nodes that it was sent to, with the likely cause of its "
                    + "end. Exits with 1 when no line names the request.")
            .epilog("Example: fawnvale explain 9c41d07be2a35f68 edge-1.log edge-2.log");
    explain.addArgument("request").help("the request's id");
    explain.addArgument("file").nargs("+").help("logs of daemons; text before a line is kept");
    explain.setDefault("command", "explain");
    commands.put("explain", ExplainCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    List<LogLine> lines = new ArrayList<>();
    for (String file : options.<String>getList("file")) {
      Result<String> text = Files.read(file);
      if (text instanceof Result.Failure<String> failure) {
        console.print(List.of(failure.problem()));
        return ExitCode.BAD_USAGE;
      }
      read(file, text.fold(each -> each, problem -> ""), lines);
    }
    String id = options.getString("request");
    RequestStory story = RequestStory.of(id, lines);
    if (story == null) {
      console
          .err()
          .println("fawnvale: no line names request " + id + ". Give the logs of all daemons.");
      return ExitCode.REFUSED;
    }
    for (LogLine line : story.lines()) {
      console.line(
          String.join(" ", line.time(), line.daemon(), "[" + line.part() + "]", line.message()));
    }
    console.line("Likely cause: " + story.cause().sentence());
    return ExitCode.DONE;
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

  /** Lines of other programs between the daemon's own are passed over. */
  private static @Nullable LogLine line(String file, String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return null;
    }
    try {
      JsonNode json = JSON.readTree(line.substring(begin));
      String before = line.substring(0, begin).trim();
      String daemon = before.isEmpty() ? file : before;
      boolean whole = json.path("t").isTextual() && json.path("msg").isTextual();
      return whole
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
