package org.fawnvale.soak;

import org.fawnvale.standins.UsersConfiguration;

/** Kinds of requests that callers send. */
enum Kind {
  /** A stream, which may be taken up elsewhere. */
  STREAM(UsersConfiguration.STREAM_PATH + "x", true),
  /** May run more than once. */
  SAFE(UsersConfiguration.SAFE_PATH + "x", true),
  /** May run once at most. */
  UNSAFE(UsersConfiguration.UNSAFE_PATH + "x", false);

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
