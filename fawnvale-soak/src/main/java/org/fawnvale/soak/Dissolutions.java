package org.fawnvale.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads from the daemons' logs which groups the leader dissolved, when and why. */
final class Dissolutions {

  private static final Pattern DISSOLVED =
      Pattern.compile(
          "\"t\":\"([0-9:.]+)\".*group=(\\S+) epoch=(\\d+) dissolved reason=([^\"]*)\"");

  private Dissolutions() {}

  /**
   * A dissolved group.
   *
   * @param time the time of day at which the leader decided it
   * @param reason the reason that the leader gave
   */
  record Dissolution(LocalTime time, String group, long epoch, String reason) {}

  /** Returns the dissolutions that the logs in a folder tell of. */
  static List<Dissolution> read(Path folder) throws IOException {
    List<Dissolution> dissolutions = new ArrayList<>();
    for (Path log : ForwardedAttempts.logs(folder)) {
      try (Stream<String> lines = Files.lines(log)) {
        lines
            .map(DISSOLVED::matcher)
            .filter(Matcher::find)
            .forEach(matcher -> dissolutions.add(dissolution(matcher)));
      }
    }
    return dissolutions;
  }

  private static Dissolution dissolution(Matcher matcher) {
    return new Dissolution(
        LocalTime.parse(matcher.group(1)),
        matcher.group(2),
        Long.parseLong(matcher.group(3)),
        matcher.group(4));
  }
}
