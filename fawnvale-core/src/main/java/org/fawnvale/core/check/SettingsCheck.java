package org.fawnvale.core.check;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.settings.DaemonSettings;

/** Checks a daemon's settings. */
public final class SettingsCheck {

  private static final DocumentCheck<DaemonSettings> CHECK =
      new DocumentCheck<>("settings.schema.json", DaemonSettings.class, SettingsCheck::rules);

  private SettingsCheck() {}

  /**
   * Checks settings.
   *
   * @param text the JSON text
   * @return the settings, or all problems that were found
   */
  public static CheckedDocument<DaemonSettings> check(String text) {
    return CHECK.check(text);
  }

  private static List<Problem> rules(DaemonSettings settings) {
    List<Problem> problems = new ArrayList<>();
    DaemonSettings.Timing timing = settings.timing();
    long slowestEvidence =
        2 * timing.beatMillis() + timing.probeMillis() + timing.probeTimeoutMillis();
    if (timing.freshMillis() < slowestEvidence) {
      problems.add(
          Problem.invalid(
              "timing.freshMillis",
              timing.freshMillis(),
              "It is shorter than two beats, a probe period and a probe's bound.",
              "Give at least " + slowestEvidence + "."));
    }
    if (timing.leaseMillis() <= 2 * timing.orderTimeoutMillis()) {
      problems.add(
          Problem.invalid(
              "timing.leaseMillis",
              timing.leaseMillis(),
              "It does not cover two orders, so no order could ever be sent.",
              "Give more than " + 2 * timing.orderTimeoutMillis() + "."));
    }
    if (settings.limits().deadlineMillis() > settings.limits().maximumDeadlineMillis()) {
      problems.add(
          Problem.invalid(
              "limits.deadlineMillis",
              settings.limits().deadlineMillis(),
              "It is over limits.maximumDeadlineMillis.",
              "Give at most " + settings.limits().maximumDeadlineMillis() + "."));
    }
    checkTls("callers", settings.callers(), problems);
    checkTls("operators", settings.operators(), problems);
    return problems;
  }

  private static void checkTls(
      String key, DaemonSettings.Listener listener, List<Problem> problems) {
    if ((listener.certificateFile() == null) != (listener.privateKeyFile() == null)) {
      problems.add(
          Problem.invalid(
              key + ".certificateFile",
              listener.certificateFile(),
              "TLS needs both a certificate and a private key.",
              "Give both " + key + ".certificateFile and " + key + ".privateKeyFile, or neither."));
    }
  }
}
