package org.fawnvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.check.BundleCheck;
import org.fawnvale.core.check.CheckedDocument;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;

/** The {@code bundle} subcommands, most of which call a daemon's operator port. */
final class BundleCommands {

  private BundleCommands() {}

  /** The request that a subcommand sends to the daemon. */
  @FunctionalInterface
  private interface Action {
    OperatorClient.Reply run(OperatorClient client, Namespace options);
  }

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser bundle =
        subparsers.addParser("bundle").help("check, submit, approve and roll out bundles");
    Subparsers actions = bundle.addSubparsers().metavar("ACTION");
    addCheck(actions, commands);
    addSubmit(actions, commands);
    addChange(actions, commands, "approve", "approve a submitted revision");
    addChange(actions, commands, "roll-out", "roll out an approved revision");
    addChange(actions, commands, "roll-forward", "resume a stopped rollout");
    Subparser stop = addChange(actions, commands, "stop", "stop a rollout at its current step");
    stop.addArgument("--reason")
        .setDefault("stopped by an operator")
        .help("the reason, recorded in the history");
    addStatus(actions, commands);
    addHistory(actions, commands);
  }

  private static void addCheck(Subparsers actions, Map<String, Command> commands) {
    Subparser check =
        actions
            .addParser("check")
            .help("validate a bundle and list every error, without a daemon")
            .epilog("Example: fawnvale bundle check bundle.json");
    check.addArgument("file").help("the bundle");
    check.setDefault("command", "bundle check");
    commands.put(
        "bundle check",
        (options, console) -> {
          Result<String> text = Files.read(options.getString("file"));
          CheckedDocument<Bundle> checked =
              text.fold(
                  BundleCheck::check,
                  (Problem problem) -> new CheckedDocument<Bundle>(null, List.of(problem)));
          if (checked.value() == null) {
            console.print(checked.problems());
            return ExitCode.BAD_USAGE;
          }
          console.line("The bundle " + checked.value().name() + " is valid.");
          return ExitCode.DONE;
        });
  }

  private static void addSubmit(Subparsers actions, Map<String, Command> commands) {
    Subparser submit =
        actions
            .addParser("submit")
            .help("store a bundle as the next revision")
            .epilog(
                "Example: fawnvale bundle submit bundle.json --daemon 10.0.0.1:9002 "
                    + "--key-file operator.key");
    submit.addArgument("file").help("the bundle");
    addConnectionOptions(submit, "bundle submit");
    commands.put(
        "bundle submit",
        (options, console) ->
            Files.read(options.getString("file"))
                .fold(
                    text ->
                        change(
                            options,
                            console,
                            (client, each) ->
                                client.post("/bundle/submit", newOperationId(), text)),
                    problem -> badUsage(problem, console)));
  }

  private static Subparser addChange(
      Subparsers actions, Map<String, Command> commands, String action, String help) {
    Subparser parser =
        actions
            .addParser(action)
            .help(help)
            .epilog(
                "Example: fawnvale bundle "
                    + action
                    + " 3 --daemon 10.0.0.1:9002 --key-file operator.key");
    parser.addArgument("revision").type(Long.class).help("the revision");
    addConnectionOptions(parser, "bundle " + action);
    commands.put(
        "bundle " + action,
        (options, console) ->
            change(
                options,
                console,
                (client, each) -> {
                  String reason = each.getString("reason");
                  String query = "?revision=" + each.getLong("revision");
                  if (reason != null) {
                    query +=
                        "&reason="
                            + java.net.URLEncoder.encode(
                                reason, java.nio.charset.StandardCharsets.UTF_8);
                  }
                  return client.post("/bundle/" + action + query, newOperationId(), "");
                }));
    return parser;
  }

  private static void addStatus(Subparsers actions, Map<String, Command> commands) {
    Subparser status =
        actions
            .addParser("status")
            .help("show the active revision and the progress of its replicas")
            .epilog(
                "Example: fawnvale bundle status --daemon 10.0.0.1:9002 --key-file operator.key");
    addConnectionOptions(status, "bundle status");
    status.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    commands.put(
        "bundle status",
        (options, console) ->
            callDaemon(
                options,
                console,
                (client, each) -> client.get("/bundle/status"),
                body ->
                    console.line(
                        options.getBoolean("json")
                            ? body.toPrettyString()
                            : StatusTable.render(body))));
  }

  private static void addHistory(Subparsers actions, Map<String, Command> commands) {
    Subparser history =
        actions
            .addParser("history")
            .help("show the most recent changes and the operators who made them");
    addConnectionOptions(history, "bundle history");
    commands.put(
        "bundle history",
        (options, console) ->
            callDaemon(
                options,
                console,
                (client, each) -> client.get("/bundle/history"),
                body -> {
                  for (JsonNode change : body) {
                    console.line(
                        "revision "
                            + change.path("revision").asText()
                            + "  "
                            + change.path("action").asText()
                            + "  by "
                            + change.path("operator").asText());
                  }
                }));
  }

  private static void addConnectionOptions(Subparser parser, String command) {
    parser
        .addArgument("--daemon")
        .required(true)
        .metavar("IP:PORT")
        .help("a daemon's operator port");
    parser
        .addArgument("--key-file")
        .required(true)
        .metavar("FILE")
        .help("file with the operator's key");
    parser
        .addArgument("--trust")
        .metavar("FILE")
        .help("PEM file with the certificate to trust; the connection then uses TLS");
    parser.setDefault("command", command);
  }

  private static ExitCode change(Namespace options, Console console, Action action) {
    return callDaemon(
        options,
        console,
        action,
        body -> console.line("Done: revision " + body.path("revision").asText() + "."));
  }

  private static ExitCode callDaemon(
      Namespace options,
      Console console,
      Action action,
      java.util.function.Consumer<JsonNode> onDone) {
    Result<String> key = Files.read(options.getString("key_file"));
    if (key instanceof Result.Failure<String> failure) {
      return badUsage(failure.problem(), console);
    }
    OperatorClient client =
        new OperatorClient(
            options.getString("daemon"),
            key.fold(String::strip, problem -> ""),
            options.getString("trust"));
    OperatorClient.Reply reply = action.run(client, options);
    if (reply instanceof OperatorClient.Reply.Done done) {
      onDone.accept(done.body());
      return ExitCode.DONE;
    }
    List<Problem> problems = ((OperatorClient.Reply.Refused) reply).problems();
    console.print(problems);
    return exitCode(problems.get(0).kind());
  }

  private static ExitCode exitCode(ProblemKind kind) {
    return switch (kind) {
      case INVALID -> ExitCode.BAD_USAGE;
      case OUTCOME_UNKNOWN -> ExitCode.UNKNOWN;
      default -> ExitCode.REFUSED;
    };
  }

  private static ExitCode badUsage(Problem problem, Console console) {
    console.print(List.of(problem));
    return ExitCode.BAD_USAGE;
  }

  private static String newOperationId() {
    return UUID.randomUUID().toString();
  }
}
