package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A group that is being taken apart; its members are free once its head surely cannot serve. */
final class Dissolution {

  final GroupKey key;
  final @Nullable String head;
  final List<String> members;
  final boolean graceful;
  final long sinceNanos;
  final Set<String> left = new HashSet<>();
  boolean closed;
  boolean headSilent;
  long freeAtNanos = Long.MAX_VALUE;

  Dissolution(
      GroupKey key,
      @Nullable String head,
      List<String> members,
      boolean graceful,
      long sinceNanos) {
    this.key = key;
    this.head = head;
    this.members = List.copyOf(members);
    this.graceful = graceful;
    this.sinceNanos = sinceNanos;
  }
}
