package org.fawnvale.standins;

/** How a stand-in's response reaches its caller. */
enum Delivery {
  /** The whole response comes once. */
  ONCE,
  /** The response comes once more, where the next response on its connection is due. */
  AGAIN,
  /** The end of the connection cuts the head, the size of a chunk, or the last chunk. */
  CUT,
  /** A place of the head, or the size of a chunk, is spoilt. */
  SPOILT
}
