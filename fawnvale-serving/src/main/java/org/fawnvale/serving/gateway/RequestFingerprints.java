package org.fawnvale.serving.gateway;

import java.util.List;
import org.fawnvale.serving.core.quarantine.CrashSuspects;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * By what the quarantine identifies one request, computed on first use. Callers of the methods hold
 * the lock.
 */
final class RequestFingerprints {

  private final CallerRequest request;
  private @Nullable Fingerprint whole;
  private @Nullable List<Fingerprint> parts;
  private boolean partTrial;

  RequestFingerprints(CallerRequest request) {
    this.request = request;
  }

  /** Returns the fingerprint that all repeats of the request share. */
  Fingerprint whole() {
    Fingerprint computed = whole;
    if (computed == null) {
      computed = request.fingerprint();
      whole = computed;
    }
    return computed;
  }

  /** Returns the fingerprints of the prompt parts that other requests may share. */
  List<Fingerprint> parts() {
    List<Fingerprint> computed = parts;
    if (computed == null) {
      computed = request.promptParts().stream().map(Fingerprints::ofPart).distinct().toList();
      parts = computed;
    }
    return computed;
  }

  /**
   * Returns what may have crashed a node that ran the request.
   *
   * @param begun whether the node had just begun to answer, so that a part of the prompt may have
   *     crashed it
   */
  CrashSuspects suspects(boolean begun) {
    return new CrashSuspects(whole(), begun ? parts() : List.of());
  }

  /** Allows one sending of the request although a part of its prompt is barred. */
  void beginPartTrial() {
    partTrial = true;
  }

  void endPartTrial() {
    partTrial = false;
  }

  boolean isPartTrial() {
    return partTrial;
  }
}
