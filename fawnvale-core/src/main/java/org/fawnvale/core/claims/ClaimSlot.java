package org.fawnvale.core.claims;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.core.hash.Rendezvous;

/**
 * The claimed keys of one slot; one object of the platform.
 *
 * <p>Moments are the wall clock in milliseconds, since daemons share them.
 *
 * @param claims each claimed key's digest with its claim
 */
public record ClaimSlot(Map<String, Claim> claims) {

  /** Slots that keys are spread over. */
  public static final int SLOTS = 16;

  /** Claims that one slot holds at most, so that its value stays well under a megabyte. */
  public static final int MAXIMUM_CLAIMS = 5000;

  /** A slot without claims. */
  public static final ClaimSlot EMPTY = new ClaimSlot(Map.of());

  /**
   * One claim.
   *
   * @param owner who may run the request, and nobody else
   * @param expiresMillis when the claim may be forgotten, wall clock, milliseconds
   */
  public record Claim(String owner, long expiresMillis) {}

  /** What became of a claim. */
  public enum Verdict {
    /** The owner may run the request, once. */
    GRANTED,
    /** Somebody else holds the key, or has run it. */
    HELD,
    /** The slot is full; nothing was claimed. */
    FULL,
    /** The platform did not take the claim; nothing was claimed. */
    UNAVAILABLE
  }

  /** Copies the map. */
  public ClaimSlot {
    claims = claims == null ? Map.of() : Map.copyOf(claims);
  }

  /**
   * The slot of a key.
   *
   * @param keyDigest the key's digest
   * @return its slot, from 0
   */
  public static int slotOf(String keyDigest) {
    return (int) Long.remainderUnsigned(Rendezvous.hash(keyDigest), SLOTS);
  }

  /**
   * Judges a claim against this slot.
   *
   * @param keyDigest the key's digest
   * @param owner who claims it
   * @param nowMillis now
   * @return granted when the owner holds it already, or when nobody does and there is room
   */
  public Verdict evaluate(String keyDigest, String owner, long nowMillis) {
    Claim held = claims.get(keyDigest);
    if (held != null && held.expiresMillis() > nowMillis) {
      return held.owner().equals(owner) ? Verdict.GRANTED : Verdict.HELD;
    }
    return claims.size() < MAXIMUM_CLAIMS ? Verdict.GRANTED : Verdict.FULL;
  }

  /**
   * Adds claims that were judged as granted, and forgets those that have expired.
   *
   * @param granted key digests with their owners
   * @param nowMillis now
   * @param expiresMillis when the new claims expire
   * @return the new slot
   */
  public ClaimSlot with(Map<String, String> granted, long nowMillis, long expiresMillis) {
    Map<String, Claim> next = new HashMap<>(withoutExpired(nowMillis).claims());
    granted.forEach((key, owner) -> next.putIfAbsent(key, new Claim(owner, expiresMillis)));
    return new ClaimSlot(next);
  }

  /**
   * Gives a claim back, because the request did not run.
   *
   * @param keyDigest the key's digest
   * @param owner who holds it
   * @return the slot without it, or this slot when somebody else holds it
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
   * Forgets expired claims.
   *
   * @param nowMillis now
   * @return the slot without them
   */
  public ClaimSlot withoutExpired(long nowMillis) {
    Map<String, Claim> next = new HashMap<>(claims);
    next.values().removeIf(claim -> claim.expiresMillis() <= nowMillis);
    return new ClaimSlot(next);
  }
}
