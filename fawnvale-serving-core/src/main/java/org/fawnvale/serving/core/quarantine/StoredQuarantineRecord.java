package org.fawnvale.serving.core.quarantine;

/**
 * A record as the platform's store keeps it, which outlives all daemons.
 *
 * @param quarantineRecord the record
 * @param expiresAtMillis until when it holds, in milliseconds of Unix time
 */
public record StoredQuarantineRecord(QuarantineRecord quarantineRecord, long expiresAtMillis) {}
