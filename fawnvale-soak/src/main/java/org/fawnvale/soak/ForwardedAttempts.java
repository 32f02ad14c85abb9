package org.fawnvale.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Reads from the daemons' logs which attempts they forwarded to other daemons. Nothing else shows
 * it: a worker does not learn which daemon sends a request, and the caller gets the answer from its
 * own daemon.
 */
final class ForwardedAttempts {

  private static final Pattern FORWARDED = Pattern.compile("request=(\\S+) forwarded_to=");

  private ForwardedAttempts() {}

  /** Returns the ids of the attempts that the logs in a folder tell of. */
  static Set<String> read(Path folder) throws IOException {
    Set<String> attempts = new HashSet<>();
    for (Path log : logs(folder)) {
      try (Stream<String> lines = Files.lines(log)) {
        lines.map(FORWARDED::matcher).filter(Matcher::find).forEach(m -> attempts.add(m.group(1)));
      }
    }
    return attempts;
  }

  /** Returns the logs of the daemons in a folder. */
  static List<Path> logs(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    }
  }
}
