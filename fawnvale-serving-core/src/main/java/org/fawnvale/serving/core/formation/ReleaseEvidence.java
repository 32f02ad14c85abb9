package org.fawnvale.serving.core.formation;

/** Why the head of a group is known to serve no longer. The leader logs the names in lower case. */
enum ReleaseEvidence {
  /** The head may still serve. */
  NONE,
  /** The head answered that it has left, or another incarnation answered at its address. */
  HEAD_LEFT,
  /** Members left so long ago that the head is broken. */
  HEAD_BROKEN,
  /** The group was dissolved earlier, and no entry has shown it since. */
  RELEASED_BEFORE
}
