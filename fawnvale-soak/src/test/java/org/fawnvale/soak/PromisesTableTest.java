package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Fails when docs/PROMISES.md names a class, fault, check or test that does not exist. */
class PromisesTableTest {

  private static final Path ROOT = Path.of(System.getProperty("fawnvale.root", ".."));
  private static final Pattern NAME = Pattern.compile("`([A-Za-z0-9.-]+)`");
  private static final int CELLS = 6;
  private static final int DECIDED_BY = 1;
  private static final int TROUBLE = 3;
  private static final int CHECK = 4;
  private static final int TEST = 5;
  private static final String OPEN = "OPEN";

  private static List<String[]> rows() throws IOException {
    List<String[]> rows = new ArrayList<>();
    for (String line : Files.readAllLines(ROOT.resolve("docs/PROMISES.md"))) {
      boolean row = line.startsWith("| ") && !line.startsWith("| clause") && !line.contains("---");
      if (row) {
        rows.add(line.substring(2, line.length() - 2).split(" \\| "));
      }
    }
    return rows;
  }

  private static List<String> names(String cell) {
    List<String> names = new ArrayList<>();
    Matcher matcher = NAME.matcher(cell);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }

  private static Map<String, String> sources(String kind) throws IOException {
    Map<String, String> sources = new HashMap<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        if (file.toString().contains("src/" + kind + "/java")) {
          String name = file.getFileName().toString().replace(".java", "");
          sources.merge(name, Files.readString(file), String::concat);
        }
      }
    }
    return sources;
  }

  private static Set<String> faults() throws IOException {
    Set<String> faults = new HashSet<>(Faults.all().keySet());
    try (Stream<Path> days = Files.list(ROOT.resolve("deploy/days"))) {
      days.forEach(day -> faults.add(day.getFileName().toString().replace(".toml", "")));
    }
    return faults;
  }

  @Test
  void everyRowHasAllCellsAndSaysOpenWhereItHasNothing() throws IOException {
    assertThat(rows()).hasSizeGreaterThan(25);
    for (String[] row : rows()) {
      assertThat(row).as(row[0]).hasSize(CELLS);
      assertThat(names(row[DECIDED_BY])).as(row[0]).isNotEmpty();
      for (int cell : new int[] {TROUBLE, CHECK, TEST}) {
        assertThat(names(row[cell]).isEmpty()).as(row[0]).isEqualTo(OPEN.equals(row[cell].trim()));
      }
    }
  }

  @Test
  void everyClassIsThere() throws IOException {
    Map<String, String> classes = sources("main");
    for (String[] row : rows()) {
      assertThat(classes.keySet()).as(row[0]).containsAll(names(row[DECIDED_BY]));
    }
  }

  @Test
  void everyTroubleAndCheckIsThere() throws IOException {
    Set<String> checks = new HashSet<>(Checks.all(0, 0).keySet());
    checks.addAll(Set.of(SoakRun.GROUPS_WHOLE, SoakRun.RECOVERY));
    Set<String> faults = faults();
    for (String[] row : rows()) {
      assertThat(faults).as(row[0]).containsAll(names(row[TROUBLE]));
      assertThat(checks).as(row[0]).containsAll(names(row[CHECK]));
    }
  }

  @Test
  void everyTestIsThere() throws IOException {
    Map<String, String> tests = sources("test");
    for (String[] row : rows()) {
      for (String name : names(row[TEST])) {
        String[] parts = name.split("\\.");
        assertThat(tests).as(row[0]).containsKey(parts[0]);
        if (parts.length > 1) {
          assertThat(tests.get(parts[0])).as(row[0]).contains("void " + parts[1] + "(");
        }
      }
    }
  }
}
