package org.fawnvale.serving.core.model;

/** State of a node within its group. */
public enum MemberState {
  /** It loads the model. */
  JOINING,
  /** It has the model, and the group does not serve. */
  READY,
  /** The group serves. */
  OPEN,
  /** The group takes nothing new. */
  CLOSING,
  /** The group lost a member. */
  BROKEN
}
