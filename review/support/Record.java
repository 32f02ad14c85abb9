import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What clients sent and got, and what workers ran, in the order in which it happened. */
final class Record {

  private final long start = System.nanoTime();
  private final List<String> lines = new ArrayList<>();
  private final Map<String, List<String>> runs = new LinkedHashMap<>();
  private final Map<String, String> answers = new LinkedHashMap<>();
  private int rejections;

  synchronized void note(String line) {
    lines.add(String.format("%9.3f %s", (System.nanoTime() - start) / 1e9, line));
  }

  synchronized void sent(String attempt, String what) {
    note(attempt + " sent " + what);
  }

  synchronized void ran(String attempt, String worker) {
    runs.computeIfAbsent(attempt, id -> new ArrayList<>()).add(worker);
    note(attempt + " runs at " + worker);
  }

  synchronized void rejected(String attempt, String worker) {
    rejections++;
    note(attempt + " turned away by " + worker + ", not run");
  }

  synchronized void answered(String attempt, String answer) {
    answers.put(attempt, answer);
    note(attempt + " answered " + answer);
  }

  synchronized int rejections() {
    return rejections;
  }

  synchronized Map<String, List<String>> runs() {
    return new LinkedHashMap<>(runs);
  }

  synchronized Map<String, String> answers() {
    return new LinkedHashMap<>(answers);
  }

  synchronized String last() {
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
