package org.fawnvale.soak;

import org.fawnvale.standins.UsersConfiguration;

/** The kinds of requests that callers send. */
enum RequestKind {
  /** A streaming request, which another worker may resume. */
  STREAM(UsersConfiguration.STREAM_PATH + "x", true),
  /** A request that may run more than once. */
  SAFE(UsersConfiguration.SAFE_PATH + "x", true),
  /** A request that must run at most once. */
  UNSAFE(UsersConfiguration.UNSAFE_PATH + "x", false);

  private final String path;
  private final boolean repeatable;

  RequestKind(String path, boolean repeatable) {
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
