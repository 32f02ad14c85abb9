package org.fawnvale.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGeneratorFactory;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.replay.FormationPolicy;
import org.fawnvale.core.replay.FormationReplay;
import org.fawnvale.core.replay.FormationResult;
import org.fawnvale.core.replay.FormationTrace;
import org.fawnvale.core.replay.ReplayResult;
import org.fawnvale.core.replay.RequestReplay;
import org.fawnvale.core.replay.RequestTrace;
import org.fawnvale.core.replay.RoutingPolicy;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.Result;

/**
 * Replays a trace through the routing or formation policies and compares the result with the
 * outcome that the trace states.
 */
final class ReplayCommand {

  private static final String RANDOM = "L64X128MixRandom";
  private static final String ALL = "all";

  private ReplayCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser replay =
        subparsers
            .addParser("replay")
            .help("replay a trace through the routing or formation policies")
            .description(
                "Runs a trace of requests, or of nodes that fail and return, through the "
                    + "policies that a daemon uses. Exits with 1 when a stated outcome is not met.")
            .epilog("Example: fawnvale replay traces/tavua-overload.jsonl --policy all");
    replay
        .addArgument("trace")
        .help("the trace, as JSON lines; docs/TRACES.md describes the format");
    replay
        .addArgument("--policy")
        .setDefault("own")
        .help("a policy's name, or 'all' to compare; defaults to the daemon's policy");
    replay
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("seed of the random number generator");
    replay.setDefault("command", "replay");
    commands.put("replay", ReplayCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    Result<String> text = Files.read(options.getString("trace"));
    if (text instanceof Result.Failure<String> failure) {
      console.print(List.of(failure.problem()));
      return ExitCode.BAD_USAGE;
    }
    String lines = text.fold(each -> each, problem -> "");
    boolean formation =
        lines.substring(0, Math.max(0, lines.indexOf('\n'))).contains("\"nodesPerDomain\"");
    return formation ? formation(lines, options, console) : requests(lines, options, console);
  }

  private static ExitCode requests(String lines, Namespace options, Console console) {
    return RequestTrace.parse(lines)
        .fold(
            trace -> {
              String policy = options.getString("policy");
              String wanted = "own".equals(policy) ? "expected" : policy;
              List<String> misses = new ArrayList<>();
              int runs = 0;
              console.line(ReplayResult.HEADING);
              for (RoutingPolicy each : RoutingPolicy.all().values()) {
                if (ALL.equals(wanted) || each.name().equals(wanted)) {
                  var random = RandomGeneratorFactory.of(RANDOM).create(options.getLong("seed"));
                  ReplayResult result = RequestReplay.run(trace, each, random);
                  console.line(result.line());
                  runs++;
                  RequestTrace.Expectation expect = trace.fleet().expect();
                  if (expect != null && "expected".equals(each.name())) {
                    misses.addAll(result.unmetExpectations(expect));
                  }
                }
              }
              return finish(console, wanted, RoutingPolicy.all().keySet(), runs, misses);
            },
            problem -> badUsage(problem, console));
  }

  private static ExitCode formation(String lines, Namespace options, Console console) {
    return FormationTrace.parse(lines)
        .fold(
            trace -> {
              String policy = options.getString("policy");
              String wanted = "own".equals(policy) ? FormationPolicy.OWN : policy;
              List<String> misses = new ArrayList<>();
              int runs = 0;
              console.line(FormationResult.HEADING);
              for (FormationPolicy each : FormationPolicy.all().values()) {
                if (ALL.equals(wanted) || each.name().equals(wanted)) {
                  FormationResult result = FormationReplay.run(trace, each);
                  console.line(result.line());
                  runs++;
                  if (trace.fleet().expect() != null && FormationPolicy.OWN.equals(each.name())) {
                    misses.addAll(result.unmetExpectations(trace.fleet().expect()));
                  }
                }
              }
              return finish(console, wanted, FormationPolicy.all().keySet(), runs, misses);
            },
            problem -> badUsage(problem, console));
  }

  private static ExitCode finish(
      Console console, String wanted, Iterable<String> names, int runs, List<String> misses) {
    if (runs == 0) {
      Problem problem =
          Problem.invalid(
              "--policy",
              wanted,
              "Unknown policy.",
              "Use 'all' or one of " + String.join(", ", names) + ".");
      return badUsage(problem, console);
    }
    misses.forEach(miss -> console.err().println("fawnvale: stated outcome missed: " + miss));
    return misses.isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
  }

  private static ExitCode badUsage(Problem problem, Console console) {
    console.print(List.of(problem));
    return ExitCode.BAD_USAGE;
  }
}
