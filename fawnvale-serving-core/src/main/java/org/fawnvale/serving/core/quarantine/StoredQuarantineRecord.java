package org.fawnvale.serving.core.quarantine;

/**
 * A quarantine record in the platform's store, where it survives the loss of all daemons.
 *
 * @param expiresAtMillis when the record expires, in milliseconds of Unix time
 */
public record StoredQuarantineRecord(QuarantineRecord quarantineRecord, long expiresAtMillis) {}
