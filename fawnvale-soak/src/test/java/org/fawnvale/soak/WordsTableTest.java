package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Fails when a header or field that the adapter reads has no row in docs/WORDS.md, or when a row
 * names a fault, check, test or class that does not exist.
 */
class WordsTableTest {

  private static final Path ROOT = Path.of(System.getProperty("fawnvale.root", ".."));
  private static final Pattern NAME = Pattern.compile("`([A-Za-z0-9._-]+)`");
  private static final Pattern HEADER = Pattern.compile("\"([A-Z][A-Za-z]*(?:-[A-Za-z]+)+)\"");
  private static final Pattern FIELD = Pattern.compile("\"([a-z_]+(?:\\.[a-z_]+)?)\"");
  private static final int CELLS = 7;
  private static final int DECODED_IN = 4;
  private static final int TROUBLE = 5;
  private static final int CHECK = 6;

  private static List<String[]> rows() throws IOException {
    List<String[]> rows = new ArrayList<>();
    for (String line : Files.readAllLines(ROOT.resolve("docs/WORDS.md"))) {
      if (line.startsWith("| ") && !line.startsWith("| word") && !line.contains("---")) {
        rows.add(line.substring(2, line.length() - 2).split(" \\| "));
      }
    }
    return rows;
  }

  private static Set<String> found(Pattern pattern, String text) {
    Set<String> names = new TreeSet<>();
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }

  private static Set<String> words() throws IOException {
    Set<String> words = new TreeSet<>();
    for (String[] row : rows()) {
      words.addAll(found(NAME, row[0]));
    }
    return words;
  }

  private static Set<String> tests() throws IOException {
    Set<String> tests = new HashSet<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith("Test.java"))
          .forEach(name -> tests.add(name.replace(".java", "")));
    }
    return tests;
  }

  private static String adapter(String name) throws IOException {
    return Files.readString(
        ROOT.resolve("platform/src/main/java/org/fawnvale/adapter").resolve(name));
  }

  @Test
  void everyRowHasATroubleAndACheckThatAreThere() throws IOException {
    Set<String> faults = new HashSet<>(Faults.all().keySet());
    try (Stream<Path> days = Files.list(ROOT.resolve("deploy/days"))) {
      days.forEach(day -> faults.add(day.getFileName().toString().replace(".toml", "")));
    }
    Set<String> checks = new HashSet<>(Checks.all(0, 0).keySet());
    checks.add(SoakRun.GROUPS_WHOLE);
    faults.addAll(tests());
    checks.addAll(tests());
    assertThat(rows()).hasSizeGreaterThan(25);
    for (String[] row : rows()) {
      assertThat(row).as(row[0]).hasSize(CELLS);
      assertThat(found(NAME, row[TROUBLE])).as(row[0]).isNotEmpty();
      assertThat(found(NAME, row[CHECK])).as(row[0]).isNotEmpty();
      assertThat(faults).as(row[0]).containsAll(found(NAME, row[TROUBLE]));
      assertThat(checks).as(row[0]).containsAll(found(NAME, row[CHECK]));
    }
  }

  @Test
  void everyRowNamesTheClassThatDecodesIt() throws IOException {
    for (String[] row : rows()) {
      for (String name : found(NAME, row[DECODED_IN])) {
        String source = adapter(name + ".java");
        for (String word : found(NAME, row[0])) {
          String constant = word.toUpperCase(Locale.ROOT).replace('-', '_');
          assertThat(source).as(word).containsAnyOf(word, "HttpHeaders." + constant);
        }
      }
    }
  }

  @Test
  void everyHeaderThatTheAdapterNamesHasARow() throws IOException {
    Set<String> headers = new TreeSet<>();
    try (Stream<Path> files =
        Files.list(ROOT.resolve("platform/src/main/java/org/fawnvale/adapter"))) {
      for (Path file : files.toList()) {
        headers.addAll(found(HEADER, Files.readString(file)));
      }
    }
    assertThat(headers).hasSizeGreaterThan(10);
    assertThat(words()).containsAll(headers);
  }

  @Test
  void everyFieldOfNodesAndPagesHasARow() throws IOException {
    Set<String> fields = found(FIELD, adapter("NodeReader.java"));
    fields.addAll(found(FIELD, adapter("PageReader.java")));
    fields.remove("platform");
    assertThat(fields).hasSizeGreaterThan(15);
    assertThat(words()).containsAll(fields);
  }
}
