package org.fawnvale.core.replay;

import java.util.List;
import java.util.Map;
import org.fawnvale.core.result.Result;
import org.jspecify.annotations.Nullable;

/**
 * A trace of requests as JSON lines: first the fleet, then the requests in the order of arrival.
 *
 * @param fleet the daemons and replicas that serve the requests
 */
public record RequestTrace(Fleet fleet, List<Request> requests) {

  /** Copies the list. */
  public RequestTrace {
    requests = List.copyOf(requests);
  }

  /**
   * The daemons and replicas of a trace.
   *
   * @param name the name of the trace
   * @param daemons number of daemons that share the requests
   * @param replicas number of replicas of the model
   * @param maximumConcurrent requests that each replica runs concurrently
   * @param tokenMillis decode time per token, milliseconds
   * @param prefillMicrosPerCharacter prefill time per prompt character that is not cached,
   *     microseconds
   * @param cachedBlocks capacity of each replica's cache, in prompt blocks
   * @param loadLagMillis period of load reports, milliseconds
   * @param slowFactor factor by which the first replica is slower; 1 for no difference
   * @param lostAtMillis when the second replica fails, milliseconds from the start; negative for
   *     never
   * @param shares shares by workspace
   * @param expect the expected result; null for none
   */
  public record Fleet(
      String name,
      int daemons,
      int replicas,
      int maximumConcurrent,
      double tokenMillis,
      double prefillMicrosPerCharacter,
      int cachedBlocks,
      double loadLagMillis,
      double slowFactor,
      double lostAtMillis,
      Map<String, Double> shares,
      @Nullable Expectation expect) {}

  /**
   * The expected result of a trace.
   *
   * @param goodputAtLeast minimum share of requests that complete within their deadline
   * @param firstToken95AtMostMillis maximum 95th percentile of the time to the first token,
   *     milliseconds
   * @param workspaceGoodputAtLeast minimum goodput of each workspace
   */
  public record Expectation(
      double goodputAtLeast, double firstToken95AtMostMillis, double workspaceGoodputAtLeast) {}

  /**
   * One request.
   *
   * @param atMillis arrival time, milliseconds from the start
   * @param workspace the workspace of the caller
   * @param family identifies requests that share a prompt prefix
   * @param sharedCharacters length of the shared prefix, in characters
   * @param characters length of the whole prompt, in characters
   * @param tokens length of the response, in tokens
   * @param deadlineMillis time from arrival to the deadline, milliseconds
   */
  public record Request(
      double atMillis,
      String workspace,
      String requestClass,
      String family,
      int sharedCharacters,
      int characters,
      int tokens,
      double deadlineMillis) {}

  /**
   * Parses a trace.
   *
   * @param text JSON lines
   * @return the trace, or a problem with the first invalid line
   */
  public static Result<RequestTrace> parse(String text) {
    return JsonLines.parse(text, Fleet.class, Request.class)
        .map(lines -> new RequestTrace(lines.header(), lines.entries()));
  }

  /** Formats the trace as JSON lines. */
  public String format() {
    return new JsonLines<>(fleet, requests).format();
  }
}
