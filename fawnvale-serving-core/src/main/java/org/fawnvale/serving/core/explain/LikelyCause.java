package org.fawnvale.serving.core.explain;

import java.util.List;

/** Why a request ended as it did, as far as the logs show. */
public enum LikelyCause {
  /** The request was answered completely. */
  SERVED("The request was answered completely."),
  /** The caller closed its connection. */
  CALLER_DISCONNECTED(
      "The caller disconnected before the answer was complete; the daemon is not at fault."),
  /** The answer was complete, and its caller's connection ended before it was written. */
  NOT_DELIVERED(
      "The answer was complete, but the caller's connection ended before all of it was written."),
  /** The daemon ended its process while the request ran. */
  DAEMON_EXITED("The daemon's process ended, at the end of its grace, while the request ran."),
  /** The request named no route or key of the configuration. */
  NOT_ALLOWED("The configuration in force has no such route or key; compare its version."),
  /** The request waited in the daemon because every upstream was full. */
  WAITED("The request waited for an upstream. Compare waited= (ms) with places= of outcome=waits."),
  /** Every upstream was full. */
  OVERLOAD("Every upstream was full. Look for groups of the model dissolved shortly before."),
  /** Every upstream was at its advertised limit. */
  AT_LIMITS("Every upstream was at its advertised limit. Look for outcome=named in limits."),
  /** Every upstream that had room was cold. */
  COLD("The upstream is cold and received all that it bears. Look for outcome=cold in limits."),
  /** Every upstream was within a Retry-After pause or had been tried. */
  PAUSED(
      "Every upstream had asked for a pause or had been tried. Look for outcome=rests in nodes."),
  /** The request was quarantined because nodes failed while running it. */
  QUARANTINED(
      "Nodes failed while running this request. Search its fingerprint in all daemons' logs."),
  /** Only upstreams of evacuated data centres could have served the request. */
  EVACUATED(
      "Only nodes of evacuated data centres serve it. Look for outcome=in_force in evacuation."),
  /** No upstream served the model. */
  NO_UPSTREAM("No group of the model served. Look for why its groups were dissolved."),
  /** The daemon was stopping or had just started. */
  DAEMON_STARTING_OR_STOPPING("The daemon was stopping or had no configuration yet."),
  /** The group that processed the request stalled. */
  MEMBER_LOST("The group stalled, most likely because it lost a member."),
  /** The group that processed the request was slower than published. */
  SLOW_GROUP("The group ran slow because of a slow node. Look for 'for pace' in formation."),
  /** The connection to the upstream broke. */
  CONNECTION_BROKEN("The connection to the upstream broke after the request was sent."),
  /** The timeout of the route or the deadline of the caller passed. */
  TIMED_OUT("The timeout of the route or caller passed; compare load= in the line with sent_to=."),
  /** The upstream answered with an error of its own. */
  UPSTREAM_FAILED("The upstream itself answered with an error."),
  /** No log line shows how the request ended. */
  UNKNOWN("No line shows how it ended; the daemon may have been killed or have dropped log lines.");

  private static final String OUTCOME = "outcome";

  private final String sentence;

  LikelyCause(String sentence) {
    this.sentence = sentence;
  }

  /**
   * Returns the cause in words, with a hint where to look next.
   *
   * @return one or two sentences
   */
  public String sentence() {
    return sentence;
  }

  /**
   * Determines the likely cause.
   *
   * @param own the lines that name the request, oldest first
   * @param timeline those lines and the ones on its upstreams
   */
  static LikelyCause of(List<LogLine> own, List<LogLine> timeline) {
    LogLine last = own.get(own.size() - 1);
    String status = last.value("status");
    String reason = last.value("reason");
    if (status == null || reason == null) {
      return UNKNOWN;
    }
    LikelyCause cause = ofEnd(status, reason, own, timeline);
    boolean explained = cause != SERVED && cause != OVERLOAD;
    return explained || last.value("waited") == null ? cause : WAITED;
  }

  private static LikelyCause ofEnd(
      String status, String reason, List<LogLine> own, List<LogLine> timeline) {
    return switch (reason) {
      case "complete" -> SERVED;
      case "answered" -> status.startsWith("5") ? UPSTREAM_FAILED : SERVED;
      case "caller left" -> CALLER_DISCONNECTED;
      case "daemon exits" -> DAEMON_EXITED;
      case "stopping", "no configuration yet", "evacuations not known yet" ->
          DAEMON_STARTING_OR_STOPPING;
      default -> ofFailure(status, reason, own, timeline);
    };
  }

  private static LikelyCause ofFailure(
      String status, String reason, List<LogLine> own, List<LogLine> timeline) {
    if (reason.startsWith("answer not delivered")) {
      return NOT_DELIVERED;
    }
    if ("404".equals(status) || "401".equals(status)) {
      return NOT_ALLOWED;
    }
    if (timeline.stream().anyMatch(line -> line.hasValue(OUTCOME, "stands_still"))) {
      return MEMBER_LOST;
    }
    if (own.stream().anyMatch(line -> line.value("failure") != null)) {
      return CONNECTION_BROKEN;
    }
    boolean late = "timeout".equals(reason);
    return late && ranAtASlowGroup(own, timeline) ? SLOW_GROUP : ofReason(reason);
  }

  /** Tells whether the last upstream was slow at the end of the request. */
  private static boolean ranAtASlowGroup(List<LogLine> own, List<LogLine> timeline) {
    String node = null;
    for (LogLine line : own) {
      String target = line.value("sent_to");
      node = target == null ? node : target;
    }
    boolean slow = false;
    for (LogLine line : timeline) {
      if (node != null && line.hasValue("node", node)) {
        slow |= line.hasValue(OUTCOME, "slow");
        slow &= !line.hasValue(OUTCOME, "no_longer_slow");
      }
    }
    return slow;
  }

  private static LikelyCause ofReason(String reason) {
    return switch (reason) {
      case "every upstream is at its limit" -> AT_LIMITS;
      case "every upstream is cold" -> COLD;
      case "every upstream rests or was tried" -> PAUSED;
      case "ends the nodes that run it", "a part of its prompt crashes nodes" -> QUARANTINED;
      case "data centre evacuated" -> EVACUATED;
      case "timeout" -> TIMED_OUT;
      default -> ofReasonPrefix(reason);
    };
  }

  private static LikelyCause ofReasonPrefix(String reason) {
    if (reason.startsWith("no upstream")) {
      return NO_UPSTREAM;
    }
    boolean full = reason.startsWith("every upstream") || reason.startsWith("rejected");
    return full ? OVERLOAD : UNKNOWN;
  }
}
