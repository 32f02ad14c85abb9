package org.fawnvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Renders the JSON status of a daemon as text tables. */
final class StatusTable {

  private static final long NEVER_MILLIS = 365L * 24 * 3600 * 1000;

  private StatusTable() {}

  static String render(JsonNode status) {
    StringBuilder text = new StringBuilder();
    JsonNode rollout = status.path("rollout");
    row(text, "daemon", status.path("daemon").asText() + " in " + dataCentre(status));
    row(text, "in force", inForce(status, rollout));
    row(text, "latest", latest(rollout));
    row(text, "confirmed", confirmed(status.path("confirmedMillisAgo").asLong()));
    row(text, "live daemons", join(status.path("liveDaemons")));
    row(text, "linked to", join(status.path("linkedDataCentres")));
    row(text, "stranded nodes", join(status.path("stranded")));
    for (JsonNode limit : status.path("limits")) {
      row(text, "limit", limit.asText());
    }
    text.append(
        String.format(
            Locale.ROOT,
            "%n%-16s %-20s %6s %8s %7s%n",
            "DATA CENTRE",
            "ROLE",
            "WANTED",
            "STANDING",
            "CURRENT"));
    for (JsonNode line : status.path("progress")) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-16s %-20s %6d %8d %7d%n",
              line.path("dataCentre").asText(),
              line.path("role").asText(),
              line.path("wanted").asInt(),
              line.path("standing").asInt(),
              line.path("current").asInt()));
    }
    text.append(
        String.format(
            Locale.ROOT,
            "%n%-24s %-12s %-10s %5s %-20s %s%n",
            "REPLICA",
            "DOMAIN",
            "VERSION",
            "GEN",
            "STATE",
            "MEMBERS"));
    for (JsonNode replica : status.path("replicas")) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-24s %-12s %-10s %5d %-20s %s%n",
              replica.path("id").asText(),
              replica.path("domain").asText(),
              replica.path("version").asText(),
              replica.path("generation").asLong(),
              replica.path("state").asText(),
              join(replica.path("members"))));
    }
    return text.toString().stripTrailing();
  }

  private static void row(StringBuilder text, String name, String value) {
    text.append(String.format(Locale.ROOT, "%-16s %s%n", name, value));
  }

  private static String dataCentre(JsonNode status) {
    String suffix = status.path("holdsLease").asBoolean() ? " (coordinates it)" : "";
    return status.path("dataCentre").asText() + suffix;
  }

  private static String inForce(JsonNode status, JsonNode rollout) {
    long accepted = rollout.path("accepted").asLong();
    if (accepted == 0) {
      return "nothing yet";
    }
    String reason = rollout.path("stopReason").asText("");
    return "revision "
        + accepted
        + " ("
        + status.path("bundle").asText()
        + "), "
        + rollout.path("acceptedStage").asText().toLowerCase(Locale.ROOT)
        + (reason.isEmpty() || "null".equals(reason) ? "" : ": " + reason);
  }

  private static String latest(JsonNode rollout) {
    JsonNode stage = rollout.path("candidateStage");
    String suffix = stage.isNull() ? "" : ", " + stage.asText().toLowerCase(Locale.ROOT);
    return "revision " + rollout.path("latest").asLong() + suffix;
  }

  private static String confirmed(long millisAgo) {
    return millisAgo > NEVER_MILLIS
        ? "never, by the platform"
        : millisAgo + " ms ago, by the platform";
  }

  private static String join(JsonNode list) {
    StringBuilder text = new StringBuilder();
    for (JsonNode each : list) {
      text.append(text.length() == 0 ? "" : " ").append(each.asText());
    }
    return text.length() == 0 ? "none" : text.toString();
  }
}
