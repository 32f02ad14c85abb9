package org.fawnvale.core.result;

/** The kinds of problems. Responses to callers and operators and exit codes depend on the kind. */
public enum ProblemKind {
  /** An input is invalid. */
  INVALID,
  /** The named object does not exist. */
  NOT_FOUND,
  /** The caller is not authenticated. */
  UNAUTHENTICATED,
  /** The caller is not authorized. */
  FORBIDDEN,
  /** Another client has changed the object, or the key was used before. */
  CONFLICT,
  /** A limit is reached; a later retry may succeed. */
  OVERLOADED,
  /** A required component cannot be reached; a later retry may succeed. */
  UNAVAILABLE,
  /** A response was lost: the change may or may not have taken effect. */
  OUTCOME_UNKNOWN
}
