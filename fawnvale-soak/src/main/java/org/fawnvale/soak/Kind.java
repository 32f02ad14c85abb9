package org.fawnvale.soak;

import org.fawnvale.standins.UsersPlatformStandIn;

/** Kinds of requests that callers send. */
enum Kind {
  /** A stream, which may be taken up elsewhere. */
  STREAM("/chat/x", true),
  /** May run more than once. */
  SAFE(UsersPlatformStandIn.SAFE_PATH + "x", true),
  /** May run once at most. */
  UNSAFE(UsersPlatformStandIn.UNSAFE_PATH + "x", false);

  private final String path;
  private final boolean repeatable;

  Kind(String path, boolean repeatable) {
    this.path = path;
    this.repeatable = repeatable;
  }

  String path() {
    return path;
  }

  boolean isRepeatable() {
    return repeatable;
  }
}
