package org.fawnvale.core.check;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.settings.DaemonSettings;

/** Validates the settings of a daemon. */
public final class SettingsCheck {

  private static final DocumentCheck<DaemonSettings> CHECK =
      new DocumentCheck<>("settings.schema.json", DaemonSettings.class, SettingsCheck::rules);

  private SettingsCheck() {}

  /**
   * Validates settings.
   *
   * @param text the JSON text
   * @return the settings, or all problems
   */
  public static CheckedDocument<DaemonSettings> check(String text) {
    return CHECK.check(text);
  }

  private static List<Problem> rules(DaemonSettings settings) {
    List<Problem> problems = new ArrayList<>();
    DaemonSettings.Timing timing = settings.timing();
    long minimumFreshMillis =
        2 * timing.beatMillis() + timing.probeMillis() + timing.probeTimeoutMillis();
    if (timing.freshMillis() < minimumFreshMillis) {
      problems.add(
          Problem.invalid(
              "timing.freshMillis",
              timing.freshMillis(),
              "It is shorter than two heartbeat periods, a probe period and a probe timeout together.",
              "Set it to at least " + minimumFreshMillis + "."));
    }
    if (timing.leaseMillis() <= 2 * timing.orderTimeoutMillis()) {
      problems.add(
          Problem.invalid(
              "timing.leaseMillis",
              timing.leaseMillis(),
              "It is not longer than two order timeouts, so no order could ever be sent.",
              "Set it to more than " + 2 * timing.orderTimeoutMillis() + "."));
    }
    if (settings.limits().deadlineMillis() > settings.limits().maximumDeadlineMillis()) {
      problems.add(
          Problem.invalid(
              "limits.deadlineMillis",
              settings.limits().deadlineMillis(),
              "It is greater than limits.maximumDeadlineMillis.",
              "Set it to at most " + settings.limits().maximumDeadlineMillis() + "."));
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
              "Set both " + key + ".certificateFile and " + key + ".privateKeyFile, or neither."));
    }
  }
}
