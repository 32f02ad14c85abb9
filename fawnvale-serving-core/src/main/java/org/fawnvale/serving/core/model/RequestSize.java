package org.fawnvale.serving.core.model;

/**
 * The declared size of a request.
 *
 * @param answerTokens the expected number of tokens of its answer
 */
public record RequestSize(int promptTokens, int answerTokens) {

  /** The size of a request that declares none. */
  public static final RequestSize UNKNOWN = new RequestSize(0, 0);
}
