package org.fawnvale.serving.http;

/** Whether an answer that arrives on a connection belongs to the request that was sent last. */
public enum AnswerMatch {
  /** It is the answer to the request. */
  OWN,
  /**
   * It belongs to another request, so that it says nothing about this one, whose own answer may
   * still follow on the connection. It is passed over.
   */
  OTHER,
  /**
   * It may be a spoilt answer to the request or one to another request, and the request is better
   * tried elsewhere than kept waiting. The connection is closed.
   */
  UNKNOWN
}
