package org.fawnvale.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The resources that a process has used so far, read from {@code /proc}.
 *
 * @param cpuSeconds user and system CPU time, in seconds
 * @param residentMegabytes resident memory, in megabytes
 */
record ProcessUse(double cpuSeconds, double residentMegabytes) {

  private static final double TICKS_PER_SECOND = 100;
  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;

  static ProcessUse of(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks =
        Double.parseDouble(fields[USER_TICKS]) + Double.parseDouble(fields[SYSTEM_TICKS]);
    double resident = 0;
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
      if (line.startsWith("VmRSS:")) {
        resident = Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return new ProcessUse(ticks / TICKS_PER_SECOND, resident);
  }
}
