package org.fawnvale.serving.core.quarantine;

/**
 * Identifies a request by its content, so that repetitions of the request are recognised. Request
 * ids don't serve this purpose, since each attempt of a caller has its own.
 *
 * @param value the first 64 bits of a digest of workspace, method, host, path and body
 */
public record Fingerprint(long value) {

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
