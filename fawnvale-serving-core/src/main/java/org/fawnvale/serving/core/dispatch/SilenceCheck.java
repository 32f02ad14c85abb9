package org.fawnvale.serving.core.dispatch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Tells by one query over a new connection whether a silent upstream has failed or only pauses. A
 * process that pauses accepts connections, since the operating system does that, and answers
 * nothing. One that answers although its streams stand still depends on something that has failed.
 * Not thread-safe. All times are in nanoseconds of the monotonic clock.
 */
public final class SilenceCheck {

  /**
   * How long before a silence counts as a stall the query is sent, so that its answer, or the lack
   * of a connection, is known in time.
   */
  public static final long LEAD_NANOS = 75_000_000L;

  /** How long a new connection may take. A cut or a machine without power lets it wait forever. */
  private static final long CONNECT_NANOS = 75_000_000L;

  /**
   * Answers that come later than this show that the upstream had paused: more than the way to a far
   * region and back.
   */
  private static final long PROMPT_NANOS = 75_000_000L;

  /** How long an answer tells what the upstream does now: a pause may begin after it. */
  private static final long FRESH_NANOS = 40_000_000L;

  /** Interval of the queries to an upstream that answers and is kept as pausing. */
  private static final long KEPT_NANOS = 250_000_000L;

  /** Interval of the queries to an upstream that pauses: it may end meanwhile. */
  private static final long REPEAT_NANOS = 1_000_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  private long sentNanos;
  private long connectedNanos = NEVER;
  private long answeredNanos = NEVER;
  private boolean disconnected;
  private boolean broken;
  private final List<SilenceCheck> members = new ArrayList<>();

  /** What a query shows. */
  public enum Finding {
    /** Neither an answer nor the lack of one is known yet. */
    PENDING,
    /** The connection was refused: the process has ended. */
    DISCONNECTED,
    /** No connection opens in time: the machine is without power, cut off, or suspended. */
    UNREACHABLE,
    /** The process answers at once, and no connection to a member of its group opens in time. */
    MEMBER_UNREACHABLE,
    /** The process answers at once. */
    ANSWERS,
    /** The process accepts connections and does not answer. */
    PAUSES,
    /** The process had paused and answers again. */
    RETURNED
  }

  /**
   * Begins a check.
   *
   * @param nowNanos when the query is sent
   */
  public SilenceCheck(long nowNanos) {
    this.sentNanos = nowNanos;
  }

  /**
   * Records that the connection has opened.
   *
   * @param nowNanos the monotonic time
   */
  public void connected(long nowNanos) {
    connectedNanos = nowNanos;
  }

  /**
   * Records that the answer has begun to arrive.
   *
   * @param nowNanos the monotonic time
   */
  public void answered(long nowNanos) {
    answeredNanos = nowNanos;
  }

  /**
   * Returns when the answer began to arrive.
   *
   * @return the monotonic time; {@link Long#MIN_VALUE} if there is none
   */
  public long answeredNanos() {
    return answeredNanos;
  }

  /** Records that the connection was refused. */
  public void disconnected() {
    disconnected = true;
  }

  /**
   * Records that the connection broke before the answer, which shows nothing: a process that goes
   * on after a pause resets connections that it has no room for.
   */
  public void broken() {
    broken = true;
  }

  /**
   * Begins the check of another member of the head's group, on which the head may wait.
   *
   * @param nowNanos when the query to the member is sent
   * @return the check, whose finding counts in this one's
   */
  public SilenceCheck addMember(long nowNanos) {
    SilenceCheck member = new SilenceCheck(nowNanos);
    members.add(member);
    return member;
  }

  /**
   * Gives an upstream more time, because this daemon itself was late.
   *
   * @param nanos how late it was
   */
  public void prolong(long nanos) {
    members.forEach(member -> member.prolong(nanos));
    sentNanos += nanos;
    if (connectedNanos != NEVER && answeredNanos == NEVER) {
      connectedNanos += nanos;
    }
  }

  /**
   * Returns what the query shows.
   *
   * @param nowNanos the monotonic time
   * @return the finding
   */
  public Finding finding(long nowNanos) {
    if (disconnected) {
      return Finding.DISCONNECTED;
    }
    if (connectedNanos == NEVER) {
      return nowNanos - sentNanos < CONNECT_NANOS ? Finding.PENDING : Finding.UNREACHABLE;
    }
    if (answeredNanos != NEVER) {
      boolean prompt = answeredNanos - connectedNanos <= PROMPT_NANOS;
      return prompt ? findingOfMembers(nowNanos) : Finding.RETURNED;
    }
    boolean pending = broken || nowNanos - connectedNanos <= PROMPT_NANOS;
    return pending ? Finding.PENDING : Finding.PAUSES;
  }

  /** A head that answers waits for a member that pauses, unless another one is lost. */
  private Finding findingOfMembers(long nowNanos) {
    Set<Finding> findings = EnumSet.noneOf(Finding.class);
    members.forEach(member -> findings.add(member.finding(nowNanos)));
    if (findings.contains(Finding.DISCONNECTED)) {
      return Finding.ANSWERS;
    }
    if (findings.contains(Finding.UNREACHABLE)) {
      return Finding.MEMBER_UNREACHABLE;
    }
    for (Finding finding : List.of(Finding.PAUSES, Finding.PENDING, Finding.RETURNED)) {
      if (findings.contains(finding)) {
        return finding;
      }
    }
    return Finding.ANSWERS;
  }

  /**
   * Tells whether the query is too old to tell what the upstream does now. One whose answer depends
   * on a member is not repeated before the member's finding is known, and a lost member stays lost.
   *
   * @param isKept whether the upstream is kept as pausing
   * @param nowNanos the monotonic time
   * @return true when another one is due
   */
  public boolean isOutdated(boolean isKept, long nowNanos) {
    if (answeredNanos == NEVER) {
      return broken || nowNanos - sentNanos > REPEAT_NANOS;
    }
    boolean goesByMember = members.stream().anyMatch(member -> member.isDecisive(nowNanos));
    return goesByMember
        ? nowNanos - sentNanos > REPEAT_NANOS
        : nowNanos - answeredNanos > (isKept ? KEPT_NANOS : FRESH_NANOS);
  }

  private boolean isDecisive(long nowNanos) {
    return switch (finding(nowNanos)) {
      case PENDING -> !broken;
      case DISCONNECTED, UNREACHABLE, MEMBER_UNREACHABLE, PAUSES -> true;
      case ANSWERS, RETURNED -> false;
    };
  }
}
