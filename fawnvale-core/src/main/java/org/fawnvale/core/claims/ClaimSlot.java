package org.fawnvale.core.claims;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.core.hash.Rendezvous;

/**
 * The claimed request keys of one slot, stored as one object on the platform.
 *
 * <p>Times are wall-clock milliseconds, because several daemons compare them.
 *
 * @param claims claims by the digest of the key
 */
public record ClaimSlot(Map<String, Claim> claims) {

  /** Number of slots that keys are distributed over by hash. */
  public static final int SLOTS = 16;

  /** Maximum number of claims in a slot; keeps the stored object well below one megabyte. */
  public static final int MAXIMUM_CLAIMS = 5000;

  /** A slot without claims. */
  public static final ClaimSlot EMPTY = new ClaimSlot(Map.of());

  /**
   * One claim.
   *
   * @param owner the only owner that may run the request
   * @param expiresMillis when the claim expires, wall clock, milliseconds
   */
  public record Claim(String owner, long expiresMillis) {}

  /** The result of a claim. */
  public enum Verdict {
    /** The owner may run the request, once. */
    GRANTED,
    /** Another owner holds the key, or has already run the request. */
    HELD,
    /** The slot is full; nothing was claimed. */
    FULL,
    /** The claim could not be stored on the platform; nothing was claimed. */
    UNAVAILABLE
  }

  /** Copies the map. */
  public ClaimSlot {
    claims = claims == null ? Map.of() : Map.copyOf(claims);
  }

  /** Returns the slot of a key digest, from 0 to {@link #SLOTS} - 1. */
  public static int slotOf(String keyDigest) {
    return (int) Long.remainderUnsigned(Rendezvous.hash(keyDigest), SLOTS);
  }

  /**
   * Evaluates a claim against this slot.
   *
   * @param owner the owner that claims the key
   * @param nowMillis the current time
   * @return GRANTED when the owner already holds the key, or when the key is free and the slot is
   *     not full
   */
  public Verdict evaluate(String keyDigest, String owner, long nowMillis) {
    Claim held = claims.get(keyDigest);
    if (held != null && held.expiresMillis() > nowMillis) {
      return held.owner().equals(owner) ? Verdict.GRANTED : Verdict.HELD;
    }
    return claims.size() < MAXIMUM_CLAIMS ? Verdict.GRANTED : Verdict.FULL;
  }

  /**
   * Adds granted claims and removes expired ones.
   *
   * @param granted the owners by key digest
   * @param nowMillis the current time
   * @param expiresMillis when the new claims expire
   * @return a new slot
   */
  public ClaimSlot with(Map<String, String> granted, long nowMillis, long expiresMillis) {
    Map<String, Claim> next = new HashMap<>(withoutExpired(nowMillis).claims());
    granted.forEach((key, owner) -> next.putIfAbsent(key, new Claim(owner, expiresMillis)));
    return new ClaimSlot(next);
  }

  /**
   * Releases a claim whose request did not run.
   *
   * @param owner the owner that holds the claim
   * @return a slot without the claim, or this slot when the owner does not hold it
   */
  public ClaimSlot without(String keyDigest, String owner) {
    Claim held = claims.get(keyDigest);
    if (held == null || !held.owner().equals(owner)) {
      return this;
    }
    Map<String, Claim> next = new HashMap<>(claims);
    next.remove(keyDigest);
    return new ClaimSlot(next);
  }

  /**
   * Removes expired claims.
   *
   * @param nowMillis the current time
   * @return a new slot
   */
  public ClaimSlot withoutExpired(long nowMillis) {
    Map<String, Claim> next = new HashMap<>(claims);
    next.values().removeIf(claim -> claim.expiresMillis() <= nowMillis);
    return new ClaimSlot(next);
  }
}
