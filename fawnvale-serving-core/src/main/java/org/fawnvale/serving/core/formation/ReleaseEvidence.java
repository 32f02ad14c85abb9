package org.fawnvale.serving.core.formation;

/** What speaks for it that the head of a group serves no more. */
enum ReleaseEvidence {
  /** Nothing does. */
  NONE,
  /** The head, or another life at its address, answered that it has left. */
  HEAD_LEFT,
  /** Members left so long ago that the head is broken. */
  HEAD_BROKEN,
  /** The group was taken apart before, and no entry shows it since. */
  RELEASED_BEFORE
}
