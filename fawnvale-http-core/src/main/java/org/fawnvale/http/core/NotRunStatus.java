package org.fawnvale.http.core;

import java.util.Set;

/**
 * The statuses by which a caller is told that its request has not run and never will. Callers send
 * such a request again, even if it must not run twice.
 */
public final class NotRunStatus {

  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final Set<Integer> ALL =
      Set.of(REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE);

  private NotRunStatus() {}

  /**
   * Returns whether callers take a status for the promise that their request has not run. Only who
   * knows that may send one: from an upstream that may have run the request it is an error like any
   * other.
   *
   * @param status a status code
   * @return true for 408, 421, 429 and 503
   */
  public static boolean includes(int status) {
    return ALL.contains(status);
  }
}
