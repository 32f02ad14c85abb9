package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.pace.PaceView;
import org.fawnvale.serving.core.reach.SilenceEvidence;

/**
 * What the members of one group answer while daemons suspect its head of a stall. A member without
 * a connection is proof of a stall. A member that is connected and silent is none, since its
 * process may only pause, and the group goes on when the process does. Not thread-safe.
 */
final class StallSuspicion {

  private static final long MILLI = 1_000_000L;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A suspicion that was gone for less than this is the same one. */
  private static final long SAME_SUSPICION_NANOS = 300 * MILLI;

  /** The interval of requests to one member; each ends after 200 ms. */
  private static final long REQUEST_INTERVAL_NANOS = 250 * MILLI;

  /** How long answers are awaited. */
  private static final long MAX_WAIT_NANOS = 400 * MILLI;

  /** An answer that took longer than this ends a silence; a working node answers within 30 ms. */
  private static final long PROMPT_NANOS = 100 * MILLI;

  /**
   * How long after a silence a group gets to go on: its streams do after a pass, and the daemons'
   * messages of that take up to half a second.
   */
  private static final long RESUMPTION_NANOS = 600 * MILLI;

  /**
   * How long a group without any event may count as slow. A pass of a full group at a twelfth of
   * its speed takes about 0.6 s, and with prefill seldom more than two.
   */
  private static final long MAX_SLOW_NANOS = 2_000 * MILLI;

  /**
   * After how many requests in a row without a connection a member counts as lost to one daemon's
   * suspicion. Over a link between data centres that loses packets, two in a row come soon.
   */
  private static final int MIN_UNCONNECTED = 4;

  /** The same where the last one was refused; a cut may refuse connections for a moment. */
  private static final int MIN_UNCONNECTED_IF_ENDED = 2;

  private final GroupKey group;
  private final long sinceNanos;
  private final Map<NodeIncarnation, Member> members = new LinkedHashMap<>();
  private long lastNanos;
  private long listedNanos;
  private boolean wasConfirmed;
  private long firstSilenceNanos = NEVER;
  private long silenceEndedNanos = NEVER;

  /** What a member has answered last. */
  private enum Answer {
    NONE,
    NORMAL,
    SLOW,
    SILENT,
    /** No connection opened. */
    DISCONNECTED,
    /** A connection opened and broke. */
    BROKEN,
    /** The process that was asked has ended. */
    ENDED;

    boolean isConnected() {
      return this == NORMAL || this == SLOW || this == SILENT;
    }

    boolean isLost() {
      return isUnconnected() || this == BROKEN;
    }

    /** A process that breaks connections lives: it may have as many as it takes. */
    boolean isUnconnected() {
      return this == DISCONNECTED || this == ENDED;
    }
  }

  /** Whether a group whose head is confirmed as stalled is dissolved. */
  enum Verdict {
    /** Not yet: answers are awaited. */
    AWAITED,
    /** Not yet: a process may only pause, or its streams may be about to go on. */
    HELD_BACK,
    /** Not yet: the group may be slow. */
    SLOW,
    /** It is dissolved. */
    STALLED
  }

  private static final class Member {
    Node node;
    final long sinceNanos;
    long askedNanos = NEVER;
    long repliedNanos = NEVER;
    Answer answer = Answer.NONE;
    int unconnectedInARow;
    long unconnectedSinceNanos = NEVER;

    Member(Node node, long now) {
      this.node = node;
      sinceNanos = now;
    }

    void record(Answer received, long now) {
      answer = received;
      if (!received.isUnconnected()) {
        unconnectedInARow = 0;
      } else {
        unconnectedSinceNanos =
            unconnectedInARow == 0 ? Math.max(askedNanos, sinceNanos) : unconnectedSinceNanos;
        unconnectedInARow++;
      }
      repliedNanos = now;
    }

    /** Tells whether the member could not be connected for long enough, and isn't being asked. */
    boolean isLost(long now) {
      int min = answer == Answer.ENDED ? MIN_UNCONNECTED_IF_ENDED : MIN_UNCONNECTED;
      return !isAwaited(now) && unconnectedInARow >= min;
    }

    /** Tells whether the member was connected at a time or later. */
    boolean isConnectedSince(long nanos) {
      return answer.isConnected() && repliedNanos >= nanos;
    }

    boolean isAwaited(long now) {
      if (answer == Answer.NONE) {
        return now - sinceNanos < MAX_WAIT_NANOS;
      }
      return askedNanos > repliedNanos && now - askedNanos < MAX_WAIT_NANOS;
    }

    /** Tells whether the member is silent, or could not be asked for so long that it may be. */
    boolean isSilent(long now) {
      return answer == Answer.SILENT || answer == Answer.NONE && !isAwaited(now);
    }

    /** Tells whether the member's process may have paused before an answer at a time. */
    boolean mayHavePaused(long now) {
      boolean isLate = now - Math.max(askedNanos, sinceNanos) > PROMPT_NANOS;
      return isSilent(now) || answer == Answer.NONE && isLate;
    }
  }

  StallSuspicion(GroupKey group, long now) {
    this.group = group;
    sinceNanos = now;
  }

  GroupKey group() {
    return group;
  }

  /**
   * Updates the suspicion.
   *
   * @param listed the listed members
   * @param isSuspected whether any daemon suspects the head now
   * @param now the monotonic time, in nanoseconds
   */
  void update(List<Node> listed, boolean isSuspected, long now) {
    listedNanos = now;
    lastNanos = isSuspected ? now : lastNanos;
    Set<NodeIncarnation> incarnations = new HashSet<>();
    for (Node node : listed) {
      incarnations.add(node.life());
      members.computeIfAbsent(node.life(), life -> new Member(node, now)).node = node;
    }
    members.keySet().retainAll(incarnations);
  }

  /** Records that the observations of all daemons confirm the suspicion. */
  void confirm() {
    wasConfirmed = true;
  }

  /** Returns when the group was listed last and not being dissolved, in nanoseconds. */
  long listedNanos() {
    return listedNanos;
  }

  /**
   * Tells whether the members are to be asked: while a daemon suspects the head, and further while
   * a member is silent, since the daemons' suspicions expire sooner than a silence proves anything.
   */
  boolean isCurrent(long now) {
    return lastNanos == now || isSilentNow(now);
  }

  /** Tells whether the suspicion has ended. One that was gone for less than 300 ms has not. */
  boolean hasEnded(long now) {
    boolean isSuspected = now - lastNanos <= SAME_SUSPICION_NANOS || isSilentNow(now);
    return !isSuspected || now - listedNanos > SAME_SUSPICION_NANOS;
  }

  /** Tells whether a member has not answered its last request. */
  private boolean isSilentNow(long now) {
    return anyMember(
        member ->
            member.answer == Answer.SILENT
                && now - member.repliedNanos < REQUEST_INTERVAL_NANOS + MAX_WAIT_NANOS);
  }

  /**
   * Tells whether a confirmed suspicion, though it may have expired, is proved by a silence:
   * without this member the group cannot have gone on.
   */
  boolean isProvedBySilence(long now) {
    return wasConfirmed
        && isSilentNow(now)
        && now - silentSince() >= SilenceEvidence.MAX_PAUSE_NANOS;
  }

  /**
   * Tells whether a suspicion that only one daemon has is proved by what the leader itself finds: a
   * member could not be connected several times in a row, while another one could. A daemon whose
   * own requests at the head have not begun counts as one that is served, so that a group served
   * for 12.7 s without a member that had lost power.
   *
   * <p>An answer of the other member from before the loss tells nothing, since the leader may have
   * been cut off meanwhile. When such a cut ends, the members' answers come one after the other.
   */
  boolean isProvedByLoss(long now) {
    return lastNanos == now
        && anyMember(lost -> lost.isLost(now) && isAnyConnectedSince(lost.unconnectedSinceNanos));
  }

  private boolean isAnyConnectedSince(long nanos) {
    return anyMember(member -> member.isConnectedSince(nanos));
  }

  /** Returns the ids of the members. */
  List<String> memberIds() {
    return ids(member -> true);
  }

  /** Returns the ids of the members that are silent. */
  List<String> silentIds(long now) {
    return ids(member -> member.isSilent(now));
  }

  private List<String> ids(Predicate<Member> condition) {
    return members.values().stream().filter(condition).map(member -> member.node.id()).toList();
  }

  /** Returns the members whose last request is long enough ago, and records new ones. */
  List<Node> ask(Predicate<Node> mayBeAsked, long now) {
    List<Node> asked = new ArrayList<>();
    for (Member member : members.values()) {
      boolean due = now - member.askedNanos >= REQUEST_INTERVAL_NANOS;
      if (due && mayBeAsked.test(member.node)) {
        member.askedNanos = now;
        asked.add(member.node);
      }
    }
    return asked;
  }

  /**
   * Records what a member has answered.
   *
   * @param node the member; other nodes are ignored
   * @param outcome its report, or why none was received
   * @param now the monotonic time, in nanoseconds
   */
  void record(Node node, ReportOutcome outcome, long now) {
    Member member = members.get(node.life());
    if (member == null) {
      return;
    }
    Answer answer = answer(member, outcome);
    if (answer == Answer.SILENT) {
      recordSilence(now);
    } else if (!answer.isLost() && member.mayHavePaused(now)) {
      silenceEndedNanos = now;
    }
    member.record(answer, now);
  }

  private void recordSilence(long now) {
    boolean isAnother = now - silenceEndedNanos >= RESUMPTION_NANOS + MAX_WAIT_NANOS;
    boolean goesOn = members.values().stream().anyMatch(member -> member.answer == Answer.SILENT);
    if (isAnother && !goesOn) {
      firstSilenceNanos = now;
    }
  }

  /**
   * A report of another incarnation shows that the member has ended. A connection that breaks or
   * does not open is proof of a stall, unless the member was silent before: a process that pauses
   * accepts no more connections once the queue of its socket is full, and may reset the ones that
   * have waited when it goes on.
   */
  private static Answer answer(Member member, ReportOutcome outcome) {
    NodeReport report = outcome.reportOf(member.node);
    if (report != null) {
      return report.pace() >= PaceView.SLOW ? Answer.SLOW : Answer.NORMAL;
    }
    if (!(outcome instanceof ReportOutcome.Missing missing)) {
      return Answer.ENDED;
    }
    return switch (missing) {
      case REFUSED -> Answer.ENDED;
      case BROKEN -> member.answer == Answer.SILENT ? Answer.SILENT : Answer.BROKEN;
      case UNREACHABLE -> member.answer == Answer.SILENT ? Answer.SILENT : Answer.DISCONNECTED;
      case SILENT -> Answer.SILENT;
      case UNREADABLE -> Answer.NORMAL;
    };
  }

  /**
   * Decides whether the group is dissolved if its head is confirmed as stalled.
   *
   * <p>A member that could not be asked within 400 ms, since it is in a Retry-After pause, changes
   * its group or awaits another answer, counts as silent: nothing tells its pause from its death. A
   * sound group is kept then, and one that has lost just this member is dissolved after three
   * seconds or when the member may be asked again.
   *
   * @param sharedNanos when most groups were suspected last, in nanoseconds
   * @param now the monotonic time, in nanoseconds
   */
  Verdict verdict(long sharedNanos, long now) {
    if (anyMember(member -> member.answer.isLost())) {
      return Verdict.STALLED;
    }
    if (anyMember(member -> member.isSilent(now))) {
      return now - silentSince() < SilenceEvidence.MAX_PAUSE_NANOS
          ? Verdict.HELD_BACK
          : Verdict.STALLED;
    }
    if (anyMember(member -> member.isAwaited(now))) {
      return Verdict.AWAITED;
    }
    boolean isShared =
        now - sharedNanos < RESUMPTION_NANOS && now - sinceNanos < SilenceEvidence.MAX_PAUSE_NANOS;
    if (isShared || mayResume(now)) {
      return Verdict.HELD_BACK;
    }
    boolean isSlow = anyMember(member -> member.answer == Answer.SLOW);
    return isSlow && now - sinceNanos < MAX_SLOW_NANOS ? Verdict.SLOW : Verdict.STALLED;
  }

  private boolean anyMember(Predicate<Member> condition) {
    return members.values().stream().anyMatch(condition);
  }

  private long silentSince() {
    return firstSilenceNanos == NEVER ? sinceNanos : firstSilenceNanos;
  }

  /**
   * Tells whether streams may be about to go on after a silence. Afterwards each member has to
   * answer once more, since another pause may have begun meanwhile.
   */
  private boolean mayResume(long now) {
    long resumedNanos = silenceEndedNanos + RESUMPTION_NANOS;
    boolean answersAreOld = anyMember(member -> member.repliedNanos < resumedNanos);
    return now < resumedNanos || answersAreOld && now - resumedNanos < MAX_WAIT_NANOS;
  }
}
