package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A group that is being taken apart; its members are free once its head surely cannot serve. */
final class Dissolution {

  /** How a group is taken apart. */
  enum Manner {
    /** The head ends its work first. */
    GRACEFUL,
    /** At once. */
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
