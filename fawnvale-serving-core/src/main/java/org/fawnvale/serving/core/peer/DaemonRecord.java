package org.fawnvale.serving.core.peer;

/**
 * A daemon as an object of the platform's store, where it survives the loss of all daemons.
 *
 * @param daemon the daemon's name
 * @param expiresAtMillis when the record expires unless a newer one follows it, in milliseconds of
 *     Unix time
 */
public record DaemonRecord(String daemon, long expiresAtMillis) {

  /** Returns the name of the object, which differs from that of the daemon's other records. */
  public String objectName() {
    return daemon + "." + expiresAtMillis;
  }
}
