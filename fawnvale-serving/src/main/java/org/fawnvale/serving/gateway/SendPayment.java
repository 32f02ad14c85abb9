package org.fawnvale.serving.gateway;

import java.util.Locale;

/** What pays for one sending of a request to a node or to another daemon, for the log. */
enum SendPayment {
  /** Nothing: no node has received the request before. */
  FIRST,
  /** The daemon that has forwarded the request, from its own budget. */
  FORWARDER,
  /** This daemon's retry budget. */
  BUDGET,
  /** Nothing, though a node may have received the request before: a fault of this daemon. */
  NOBODY;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
