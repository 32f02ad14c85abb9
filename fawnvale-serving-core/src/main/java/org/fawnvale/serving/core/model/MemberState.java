package org.fawnvale.serving.core.model;

/** The state of a node within its group. */
public enum MemberState {
  /** The node loads the model's weights. */
  JOINING,
  /** The node has loaded the weights; its group does not serve yet. */
  READY,
  /** The group serves. */
  OPEN,
  /** The group accepts no new requests. */
  CLOSING,
  /** The group has lost a member. */
  BROKEN
}
