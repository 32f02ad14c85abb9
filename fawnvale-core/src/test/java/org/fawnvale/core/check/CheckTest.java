package org.fawnvale.core.check;

import static org.assertj.core.api.Assertions.assertThat;

import org.fawnvale.core.result.Problem;
import org.junit.jupiter.api.Test;

/**
 * Tests that validation reports all errors at once, each with key, position or value, and remedy.
 */
class CheckTest {

  private static final String SETTINGS =
      """
      {"name": "entry-1", "dataCentre": "suva",
       "callers": {"address": "127.0.0.1", "port": 1}, "operators":
         {"address": "127.0.0.1", "port": 2}, "peers": {"address": "127.0.0.1", "port": 3},
       "platform": {"address": "127.0.0.1", "port": 4},
       "keyFiles": {"callers": "c", "operators": "o", "peers": "p"}%s}
      """;

  @Test
  void validSettingsGetDefaults() {
    CheckedDocument<org.fawnvale.core.settings.DaemonSettings> checked =
        SettingsCheck.check(SETTINGS.formatted(""));
    assertThat(checked.problems()).isEmpty();
    assertThat(checked.value().timing().leaseMillis()).isEqualTo(9000);
  }

  @Test
  void allErrorsOfSettingsAreReported() {
    String broken = SETTINGS.formatted("").replace("\"port\": 3", "\"port\": 70000, \"prot\": 1");
    assertThat(SettingsCheck.check(broken).problems())
        .hasSize(2)
        .allSatisfy(problem -> assertThat(problem.describe()).contains("line").contains("peers"));
  }

  @Test
  void inconsistentTimingIsReported() {
    String timing = ", \"timing\": {\"freshMillis\": 1000, \"leaseMillis\": 1000}";
    assertThat(SettingsCheck.check(SETTINGS.formatted(timing)).problems())
        .extracting(Problem::key)
        .containsExactly("timing.freshMillis", "timing.leaseMillis");
  }

  @Test
  void malformedJsonIsReportedWithItsPosition() {
    assertThat(SettingsCheck.check("{\n \"name\": ").problems().get(0).key()).contains("line");
  }

  @Test
  void allErrorsOfABundleAreReported() {
    String bundle =
        """
        {"name": "b",
         "models": [{"name": "m", "version": "1", "weightGigabytes": 1},
                    {"name": "unused", "version": "1", "weightGigabytes": 1,
                     "adapters": [{"name": "a", "version": "1"}]}],
         "roles": [{"name": "r", "model": "missing", "nodesPerReplica": 4,
                    "replicasPerDataCentre": 2, "minimumReady": 2, "maximumConcurrent": 8},
                   {"name": "s", "model": "m", "nodesPerReplica": 4,
                    "replicasPerDataCentre": 2, "minimumReady": 1, "maximumConcurrent": 8}],
         "workspaces": [{"name": "w", "share": 0.8, "models": ["nothing"]},
                        {"name": "w", "share": 0.7, "services": ["none"]}]}
        """;
    assertThat(BundleCheck.check(bundle).problems())
        .extracting(Problem::key)
        .containsExactly(
            "workspaces",
            "models[unused]",
            "roles[r].model",
            "roles[r].minimumReady",
            "workspaces[w].models",
            "workspaces[w].services",
            "workspaces.share");
  }

  @Test
  void aReplicaLargerThanAnyDomainIsReported() {
    String bundle =
        """
        {"name": "b", "models": [{"name": "m", "version": "1", "weightGigabytes": 1}],
         "roles": [{"name": "r", "model": "m", "nodesPerReplica": 8,
                    "replicasPerDataCentre": 1, "minimumReady": 0, "maximumConcurrent": 8}],
         "workspaces": []}
        """;
    assertThat(BundleCheck.checkSizes(BundleCheck.check(bundle).value(), 6))
        .singleElement()
        .satisfies(problem -> assertThat(problem.describe()).contains("at most 6"));
  }
}
