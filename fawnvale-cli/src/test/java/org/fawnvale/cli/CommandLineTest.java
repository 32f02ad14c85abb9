package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {

  private static final Path ROOT = Path.of(System.getProperty("fawnvale.root"));

  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

  @TempDir private Path folder;

  private ExitCode run(String... arguments) {
    PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
    return Main.run(arguments, new Console(stream, stream));
  }

  private String printed() {
    return printed.toString(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "tavua-normal",
        "tavua-overload",
        "tavua-slow-engine",
        "tavua-replica-lost",
        "semilla-viva-normal",
        "semilla-viva-overload",
        "tavua-nodes-16-spare-poor",
        "tavua-nodes-16-spare-rich",
        "semilla-viva-nodes-16-spare-rich"
      })
  void replayMeetsStatedOutcome(String trace) {
    ExitCode code = run("replay", ROOT.resolve("traces/" + trace + ".jsonl").toString());
    assertThat(code).as(printed()).isEqualTo(ExitCode.DONE);
  }

  @Test
  void versionCommandAndOptionPrintTheSame() {
    assertThat(run("version")).isEqualTo(ExitCode.DONE);
    String byCommand = printed();
    printed.reset();
    assertThat(run("--version")).isEqualTo(ExitCode.DONE);
    assertThat(printed()).isEqualTo(byCommand).startsWith("fawnvale ");
  }

  @Test
  void replayReportsMissedOutcome() throws IOException {
    String trace = Files.readString(ROOT.resolve("traces/tavua-normal.jsonl"));
    Path strict = folder.resolve("strict.jsonl");
    Files.writeString(
        strict, trace.replaceFirst("\"goodputAtLeast\":[0-9.]+", "\"goodputAtLeast\":1.5"));
    assertThat(run("replay", strict.toString())).isEqualTo(ExitCode.REFUSED);
    assertThat(printed()).contains("stated outcome missed: goodput");
  }

  @Test
  void replayReportsLineOfInvalidTrace() throws IOException {
    Path truncated = folder.resolve("torn.jsonl");
    Files.writeString(truncated, "{\"name\": \"x\"}\n{\"atMillis\": ");
    assertThat(run("replay", truncated.toString())).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(printed()).contains("line 2").contains("docs/TRACES.md");
  }

  @Test
  void replayListsPoliciesForUnknownPolicy() {
    String trace = ROOT.resolve("traces/tavua-normal.jsonl").toString();
    assertThat(run("replay", trace, "--policy", "best")).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(printed()).contains("round-robin");
  }

  @Test
  void exampleBundleIsValid() {
    assertThat(run("bundle", "check", ROOT.resolve("examples/bundle.json").toString()))
        .isEqualTo(ExitCode.DONE);
  }

  @Test
  void rejectsUnsupportedRoleKind() throws IOException {
    String bundle = Files.readString(ROOT.resolve("examples/bundle.json"));
    Path withPrefillRole = folder.resolve("parted.json");
    Files.writeString(
        withPrefillRole,
        bundle.replace("\"nodesPerReplica\"", "\"kind\": \"prefill\", \"nodesPerReplica\""));
    assertThat(run("bundle", "check", withPrefillRole.toString())).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(printed()).contains("roles[drafter].kind").contains("combined");
  }

  @Test
  void missingFilesAndUnknownCommandsExitWithBadUsage() {
    assertThat(run("settings", "check", folder.resolve("none").toString()))
        .isEqualTo(ExitCode.BAD_USAGE);
    assertThat(run("fly")).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(run("bundle", "status", "--daemon", "nowhere", "--key-file", "none"))
        .isEqualTo(ExitCode.BAD_USAGE);
  }

  @Test
  void reportsAddressOfUnreachableDaemon() throws IOException {
    Path key = folder.resolve("operator.key");
    Files.writeString(key, "key");
    ExitCode code =
        run("bundle", "status", "--daemon", "127.0.0.1:1", "--key-file", key.toString());
    assertThat(code).isEqualTo(ExitCode.REFUSED);
    assertThat(printed()).contains("127.0.0.1:1").contains("--daemon");
  }

  @Test
  void explainMergesLogsOfSeveralDaemons() throws IOException {
    Path first = folder.resolve("edge-1.log");
    Path second = folder.resolve("edge-2.log");
    Files.writeString(
        first, logLine("10:00:00.100", "gateway", "request=r1 sent_to=i-a why=first"));
    Files.writeString(
        second,
        "not a line of ours\n"
            + logLine("10:00:00.200", "gateway", "node=i-a outcome=stands_still silent_ms=180"));
    Files.writeString(
        first,
        logLine("10:00:00.300", "gateway", "request=r1 status=502 reason=timeout node=i-a"),
        java.nio.file.StandardOpenOption.APPEND);
    assertThat(run("explain", "r1", first.toString(), second.toString())).isEqualTo(ExitCode.DONE);
    assertThat(printed())
        .containsSubsequence("sent_to=i-a", "edge-2.log", "stands_still", "status=502")
        .contains("lost a member");
  }

  @Test
  void explainReportsUnknownRequest() throws IOException {
    Path log = folder.resolve("edge-1.log");
    Files.writeString(log, logLine("10:00:00.100", "gateway", "request=r1 sent_to=i-a"));
    assertThat(run("explain", "r2", log.toString())).isEqualTo(ExitCode.REFUSED);
    assertThat(printed()).contains("no line names request r2");
  }

  private static String logLine(String time, String part, String message) {
    return String.format(
        "{\"t\":\"%s\",\"level\":\"INFO\",\"part\":\"%s\",\"msg\":\"%s\"}%n", time, part, message);
  }
}
