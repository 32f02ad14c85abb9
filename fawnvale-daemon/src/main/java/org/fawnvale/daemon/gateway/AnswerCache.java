package org.fawnvale.daemon.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest answers to unsafe requests, by the digest of the request key. Callers that repeat a
 * key get the cached answer. The oldest entry is evicted first.
 */
final class AnswerCache {

  private final Map<String, Answer.Whole> answers;

  AnswerCache(int maximum) {
    this.answers =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Answer.Whole> eldest) {
            return size() > maximum;
          }
        };
  }

  synchronized void put(String keyDigest, Answer.Whole answer) {
    answers.put(keyDigest, answer);
  }

  synchronized Optional<Answer.Whole> find(String keyDigest) {
    return Optional.ofNullable(answers.get(keyDigest));
  }
}
