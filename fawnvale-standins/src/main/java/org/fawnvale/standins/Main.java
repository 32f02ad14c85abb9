package org.fawnvale.standins;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.model.Node;

/** Runs one stand-in until its standard input is closed. */
public final class Main {

  private static final TypeReference<List<Node>> NODES = new TypeReference<>() {};
  private static final String LOOPBACK = "127.0.0.1";

  private Main() {}

  /**
   * Starts a stand-in.
   *
   * @param arguments the kind of the stand-in and its options
   * @throws Exception when the stand-in cannot start
   */
  public static void main(String[] arguments) throws Exception {
    ArgumentParser parser = ArgumentParsers.newFor("fawnvale-standins").build();
    Subparsers kinds = parser.addSubparsers().dest("kind");
    Subparser platform = kinds.addParser("platform");
    port(platform);
    platform.addArgument("--nodes").required(true).help("JSON file with the list of nodes");
    platform.addArgument("--writes").type(Long.class).setDefault(100L);
    platform.addArgument("--reads").type(Long.class).setDefault(2000L);
    Subparser engine = kinds.addParser("engine");
    port(engine);
    engine.addArgument("--nodes").required(true).help("names of its nodes, separated by commas");
    engine.addArgument("--token-millis").type(Long.class).setDefault(5L);
    engine.addArgument("--prefill-micros").type(Long.class).setDefault(20L);
    engine.addArgument("--concurrent").type(Integer.class).setDefault(8);
    engine.addArgument("--gigabytes-per-second").type(Double.class).setDefault(100.0);
    engine
        .addArgument("--ignores-fences")
        .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue());
    Subparser service = kinds.addParser("service");
    port(service);
    service.addArgument("--name").required(true);
    service.addArgument("--work-millis").type(Long.class).setDefault(2L);
    try {
      Namespace options = parser.parseArgs(arguments);
      StandInServer server =
          StandInServer.start(LOOPBACK, options.getInt("port"), handler(options));
      PrintStream out = System.out; // NOPMD SystemPrintln: the parent process reads the port
      out.println("listening " + server.port());
      out.flush();
      awaitEndOfInput();
      server.close();
      Runtime.getRuntime().halt(0);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(2);
    }
  }

  private static void port(Subparser parser) {
    parser.addArgument("--port").type(Integer.class).setDefault(0);
  }

  private static StandInServer.Handler handler(Namespace options) throws IOException {
    return switch (options.getString("kind")) {
      case "platform" ->
          new Platform(
              options.getLong("writes"),
              options.getLong("reads"),
              Json.MAPPER.readValue(new File(options.getString("nodes")), NODES));
      case "engine" ->
          new Engine(
              Arrays.asList(options.getString("nodes").split(",")),
              new WeightStore(options.getDouble("gigabytes_per_second")),
              !options.getBoolean("ignores_fences"),
              new Engine.Timing(
                  options.getLong("token_millis"),
                  options.getLong("prefill_micros"),
                  options.getInt("concurrent")));
      default -> new PlainServer(options.getString("name"), options.getLong("work_millis"));
    };
  }

  private static void awaitEndOfInput() throws IOException {
    byte[] buffer = new byte[64];
    int length = System.in.read(buffer);
    while (length >= 0) {
      length = System.in.read(buffer);
    }
  }
}
