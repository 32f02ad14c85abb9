package org.fawnvale.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The options of a soak.
 *
 * @param target the folder that holds the built jar
 * @param firstSeed the seed of the first run
 * @param seeds the number of runs, with consecutive seeds
 * @param seconds how long each run injects faults, in seconds
 * @param daemons the number of daemons
 * @param network the third byte of the loopback addresses on which the daemons listen
 * @param sameBodies whether all callers send the same request body
 * @param often names of faults from which about half of all faults are chosen; empty for none
 * @param only names of faults from which all faults are chosen; empty for all
 * @param slackMillis how long a daemon may take to process a response with Retry-After
 */
record SoakOptions(
    Path target,
    long firstSeed,
    int seeds,
    int seconds,
    int daemons,
    int network,
    boolean sameBodies,
    List<String> often,
    List<String> only,
    long slackMillis) {

  private static final int MAX_DAEMONS = 40;
  private static final int MAX_NETWORKS = 255;

  static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description(
                "Injects faults into real daemons; exit 0 clean, 1 a breach, 2 bad usage.");
    parser.addArgument("--target").setDefault("target").help("folder of the built jar");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of runs");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(20)
        .help("seconds of fault injection in each run");
    parser.addArgument("--daemons").type(Integer.class).setDefault(4).help("2 to " + MAX_DAEMONS);
    parser
        .addArgument("--network")
        .type(Integer.class)
        .setDefault(2)
        .help("2 to 255, one per concurrent soak: daemons listen at 127.0.NETWORK.1 and up");
    parser
        .addArgument("--same-bodies")
        .action(Arguments.storeTrue())
        .help("all callers send the same request body");
    parser
        .addArgument("--often")
        .setDefault("")
        .help(
            "comma-separated troubles, chosen for about half of all faults: "
                + Faults.all().keySet());
    parser
        .addArgument("--only")
        .setDefault("")
        .help("comma-separated troubles, the only ones that are chosen");
    parser
        .addArgument("--slack-ms")
        .type(Long.class)
        .setDefault(500L)
        .help("milliseconds that a daemon may take to process a Retry-After response");
    return parser;
  }

  static SoakOptions parse(String... arguments) throws ArgumentParserException {
    ArgumentParser parser = parser();
    Namespace read = parser.parseArgs(arguments);
    SoakOptions options =
        new SoakOptions(
            Path.of(read.getString("target")).toAbsolutePath(),
            read.getLong("seed"),
            read.getInt("seeds"),
            read.getInt("seconds"),
            read.getInt("daemons"),
            read.getInt("network"),
            read.getBoolean("same_bodies"),
            names(read.getString("often")),
            names(read.getString("only")),
            read.getLong("slack_ms"));
    options.check(parser);
    return options;
  }

  private static List<String> names(String text) {
    return text.isEmpty() ? List.of() : List.of(text.split(","));
  }

  private void check(ArgumentParser parser) throws ArgumentParserException {
    require(seeds > 0, parser, "--seeds " + seeds + ": give 1 or more");
    require(seconds > 0, parser, "--seconds " + seconds + ": give 1 or more");
    boolean daemonsInRange = daemons >= 2 && daemons <= MAX_DAEMONS;
    require(daemonsInRange, parser, "--daemons " + daemons + ": give 2 to " + MAX_DAEMONS);
    boolean networkInRange = network >= 2 && network <= MAX_NETWORKS;
    require(networkInRange, parser, "--network " + network + ": give 2 to " + MAX_NETWORKS);
    requireFaults("--often", often, parser);
    requireFaults("--only", only, parser);
    require(slackMillis >= 0, parser, "--slack-ms " + slackMillis + ": give 0 or more");
    boolean built = Files.exists(target.resolve("fawnvale.jar"));
    require(built, parser, "--target " + target + ": build the jar there first, mvn package");
  }

  private static void requireFaults(String option, List<String> names, ArgumentParser parser)
      throws ArgumentParserException {
    for (String name : names) {
      boolean isFault = Faults.all().containsKey(name);
      require(isFault, parser, option + " " + name + ": give names of troubles, see --help");
    }
  }

  private static void require(boolean holds, ArgumentParser parser, String text)
      throws ArgumentParserException {
    if (!holds) {
      throw new ArgumentParserException(text, parser);
    }
  }
}
