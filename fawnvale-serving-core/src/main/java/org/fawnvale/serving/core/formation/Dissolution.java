package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A group that is being dissolved. Its members are free once its head certainly can't serve. */
final class Dissolution {

  /** How a group is dissolved. */
  enum Manner {
    /** The head finishes its requests before it leaves. */
    GRACEFUL,
    /** The head leaves immediately; its requests break off. */
    IMMEDIATE
  }

  final GroupKey key;
  final @Nullable String head;
  final List<String> members;
  final Manner manner;
  final long sinceNanos;
  final Set<String> leftMembers = new HashSet<>();
  boolean closed;
  boolean drained;
  boolean headUnresponsive;
  boolean headLeft;
  long headLeftAtNanos;
  long brokenAtNanos = Long.MAX_VALUE;

  Dissolution(
      GroupKey key, @Nullable String head, List<String> members, Manner manner, long sinceNanos) {
    this.key = key;
    this.head = head;
    this.members = List.copyOf(members);
    this.manner = manner;
    this.sinceNanos = sinceNanos;
  }

  void headLeft(long now) {
    headLeft = true;
    headLeftAtNanos = now;
  }
}
