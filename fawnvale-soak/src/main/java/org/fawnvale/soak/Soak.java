package org.fawnvale.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Command line of the soak test: prints one line of JSON per run, then a summary. */
public final class Soak {

  /** The part of the daemons' log that tells of their paths to the workers. */
  private static final String REACH_PART = "\"part\":\"reach\"";

  /** A doubt often lasts for one tick and has no effect on callers. */
  private static final String DOUBTFUL = "outcome=DOUBTFUL";

  private static final int MAX_PATH_LINES = 20;

  private static final int CLEAN = 0;
  private static final int BREACH = 1;
  private static final int BAD_USAGE = 2;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final SoakOptions options;
  private final PrintStream out;

  private Soak(SoakOptions options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /**
   * Runs a soak test and ends the process with its exit code.
   *
   * @param arguments see {@code --help}
   * @throws IOException when the fleet can't be started
   * @throws InterruptedException when it is interrupted
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    PrintStream out = System.out; // NOPMD SystemPrintln: the results go to standard output
    System.exit(run(out, arguments)); // NOPMD DoNotTerminateVM: the exit code is the result
  }

  /**
   * Runs a soak test.
   *
   * @param out receives the results
   * @param arguments see {@code --help}
   * @return 0 when no check failed, 1 when one failed, 2 for bad usage
   * @throws IOException when the fleet can't be started, or another soak uses its addresses
   * @throws InterruptedException when it is interrupted
   */
  public static int run(PrintStream out, String... arguments)
      throws IOException, InterruptedException {
    SoakOptions options;
    try {
      options = SoakOptions.parse(arguments);
    } catch (ArgumentParserException e) {
      e.getParser().handleError(e);
      return BAD_USAGE;
    }
    return NetworkClaim.during(options.network(), () -> new Soak(options, out).runAll())
        ? CLEAN
        : BREACH;
  }

  private boolean runAll() throws IOException, InterruptedException {
    boolean clean = true;
    Map<String, Verdict> all = new LinkedHashMap<>();
    DeathReport deaths = new DeathReport(0, List.of());
    for (int run = 0; run < options.seeds(); run++) {
      long seed = options.firstSeed() + run;
      Path folder = Files.createTempDirectory("fawnvale-soak-" + seed + "-");
      SoakRun.Result result = new SoakRun(options, seed, folder).run();
      result.verdicts().forEach((name, verdict) -> all.merge(name, verdict, Verdict::plus));
      deaths = deaths.plus(result.deaths());
      out.println(toJson(result));
      out.println(run + 1 + " of " + options.seeds() + " runs played");
      if (!result.isClean()) {
        clean = false;
        reportBreach(result, folder);
      }
    }
    printSummary(all);
    printDeaths(deaths);
    return clean;
  }

  private String toJson(SoakRun.Result result) throws IOException {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("seed", result.seed());
    line.put("clean", result.isClean());
    line.set("troubles", MAPPER.valueToTree(result.troubles()));
    line.set("answers", MAPPER.valueToTree(result.answers()));
    line.set("dissolved", MAPPER.valueToTree(result.dissolved()));
    line.set("retriesNearest", MAPPER.valueToTree(RetryCheck.nearest(result.history())));
    line.set("verdicts", MAPPER.valueToTree(result.verdicts()));
    return MAPPER.writeValueAsString(line);
  }

  /** Writes the recorded events next to the logs and prints the command that repeats the run. */
  private void reportBreach(SoakRun.Result result, Path folder) throws IOException {
    List<String> history = result.history().events().stream().map(Object::toString).toList();
    Files.write(folder.resolve("story.txt"), history);
    out.println("BREACH with seed " + result.seed() + "; logs and story in " + folder);
    out.printf(
        "again: ./soak --seed %d --seconds %d --daemons %d --often %s --only %s --slack-ms %d%n",
        result.seed(),
        options.seconds(),
        options.daemons(),
        written(options.often()),
        written(options.only()),
        options.slackMillis());
    printLostPaths(folder);
  }

  private static String written(List<String> names) {
    return names.isEmpty() ? "''" : String.join(",", names);
  }

  /** Prints when daemons took their paths to all workers for lost: it explains most refusals. */
  private void printLostPaths(Path folder) throws IOException {
    for (Path log : ForwardedAttempts.logs(folder)) {
      try (Stream<String> lines = Files.lines(log)) {
        lines
            .filter(line -> line.contains(REACH_PART) && !line.contains(DOUBTFUL))
            .limit(MAX_PATH_LINES)
            .forEach(line -> out.println(log.getFileName() + " " + line));
      }
    }
  }

  private void printDeaths(DeathReport deaths) {
    out.printf(
        "open groups that lost a member: %d, dissolved %d; after ms: median %d, 90th %d, most %d%n",
        deaths.lost(),
        deaths.found(),
        deaths.medianMillis(),
        deaths.ninetiethMillis(),
        deaths.largestMillis());
  }

  private void printSummary(Map<String, Verdict> all) {
    out.println("CHECK             TEMPTED  BREACHES");
    all.forEach(
        (name, verdict) ->
            out.printf(
                "%-16s %8d  %8s%n",
                name,
                verdict.tempted(),
                verdict.tempted() == 0 ? "not run" : String.valueOf(verdict.breaches().size())));
  }
}
