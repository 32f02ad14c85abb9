package org.fawnvale.serving.core.explain;

import java.util.List;

/** Why a request ended as it did, as far as the logs tell. */
public enum LikelyCause {
  /** It was answered and its answer is whole. */
  SERVED("It was answered whole."),
  /** The caller closed its connection. */
  CALLER_LEFT("The caller left before the answer was whole; nothing is wrong with the daemon."),
  /** The request named no route or key that the configuration has. */
  NOT_ALLOWED("The configuration in force has no such route or key; compare its version."),
  /** Every upstream was full. */
  OVERLOAD("Every upstream was full. Look for groups of the model dissolved shortly before."),
  /** The nodes are in need and take no more. */
  AT_LIMITS("Every upstream was at the limit that it names. Look for outcome=named in limits."),
  /** The nodes want to be left alone. */
  RESTS("Every upstream rested by its own word. Look for outcome=rests in nodes."),
  /** It was found to end nodes. */
  BARRED("Nodes had ended under the same request. Search its fingerprint in all daemons' logs."),
  /** No upstream served the model. */
  NO_UPSTREAM("No group of the model served. Look for why its groups were dissolved."),
  /** The daemon was stopping or had just started. */
  DAEMON_STARTS_OR_STOPS("The daemon was stopping or knew no configuration yet."),
  /** A group stood still under it. */
  MEMBER_LOST("The group stood still, most likely since it lost a member."),
  /** The connection to the upstream broke. */
  UPSTREAM_BROKE("The connection to the upstream broke after the request was sent."),
  /** The time of the route or of the caller passed. */
  OUT_OF_TIME("The time of the route or of the caller passed; compare load= where it was sent."),
  /** The upstream itself answered with a failure. */
  UPSTREAM_FAILED("The upstream itself answered with a failure."),
  /** No line tells how it ended. */
  UNKNOWN("No line tells how it ended; the daemon may have been killed, or dropped lines.");

  private static final String OUTCOME = "outcome";

  private final String sentence;

  LikelyCause(String sentence) {
    this.sentence = sentence;
  }

  /**
   * The cause in words, with where to look next.
   *
   * @return one or two sentences
   */
  public String sentence() {
    return sentence;
  }

  /**
   * Judges a request's end.
   *
   * @param own the lines that name the request, oldest first
   * @param story those and the lines on its upstreams
   * @return the likely cause
   */
  static LikelyCause of(List<LogLine> own, List<LogLine> story) {
    LogLine last = own.get(own.size() - 1);
    String status = last.value("status");
    String reason = last.value("reason");
    if (status == null || reason == null) {
      return UNKNOWN;
    }
    return switch (reason) {
      case "complete" -> SERVED;
      case "answered" -> status.startsWith("5") ? UPSTREAM_FAILED : SERVED;
      case "caller left" -> CALLER_LEFT;
      case "stopping", "no configuration yet" -> DAEMON_STARTS_OR_STOPS;
      default -> ofFailure(status, reason, own, story);
    };
  }

  private static LikelyCause ofFailure(
      String status, String reason, List<LogLine> own, List<LogLine> story) {
    if ("404".equals(status) || "401".equals(status)) {
      return NOT_ALLOWED;
    }
    if (story.stream().anyMatch(line -> line.hasValue(OUTCOME, "stands_still"))) {
      return MEMBER_LOST;
    }
    if (own.stream().anyMatch(line -> line.value("failure") != null)) {
      return UPSTREAM_BROKE;
    }
    return ofReason(reason);
  }

  private static LikelyCause ofReason(String reason) {
    return switch (reason) {
      case "every upstream is at its limit" -> AT_LIMITS;
      case "every upstream rests or was tried" -> RESTS;
      case "ends the nodes that run it" -> BARRED;
      case "timeout" -> OUT_OF_TIME;
      default -> ofReasonInPart(reason);
    };
  }

  private static LikelyCause ofReasonInPart(String reason) {
    if (reason.startsWith("no upstream")) {
      return NO_UPSTREAM;
    }
    boolean full = reason.startsWith("every upstream") || reason.startsWith("rejected");
    return full ? OVERLOAD : UNKNOWN;
  }
}
