package org.fawnvale.serving.core.model;

/**
 * How much work a request says it is.
 *
 * @param promptTokens the tokens of its prompt
 * @param answerTokens the tokens that its answer is likely to have
 */
public record RequestSize(int promptTokens, int answerTokens) {

  /** The size of a request that says nothing of it. */
  public static final RequestSize UNKNOWN = new RequestSize(0, 0);
}
