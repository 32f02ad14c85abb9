package org.fawnvale.daemon.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.core.claims.ClaimSlot;
import org.fawnvale.core.hash.Rendezvous;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.kernel.Service;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;

/**
 * Claims request keys in the platform's store.
 *
 * <p>Rendezvous hashing assigns each slot to one of the linked daemons, which batches the claims of
 * all daemons into few writes. The assignment only saves writes: daemons may disagree on it, and
 * the store's conditional update keeps claims exclusive.
 */
public final class ClaimService implements Service {

  private static final long FORWARD_TIMEOUT_MILLIS = 1000;

  private final Context context;
  private final PeerService peers;
  private final List<SlotBatcher> batchers = new ArrayList<>();
  private final Map<Long, PendingClaim> pendingClaims = new ConcurrentHashMap<>();
  private final AtomicLong numbers = new AtomicLong();

  private record PendingClaim(Link link, CompletableFuture<ClaimResult> verdict) {}

  /**
   * Creates the service.
   *
   * @param context settings, clocks and executors of the daemon
   * @param store the platform's object store
   * @param peers links to the daemons that batch claims
   */
  public ClaimService(Context context, ObjectStore store, PeerService peers) {
    this.context = context;
    this.peers = peers;
    long window = context.settings().timing().claimWindowMillis();
    for (int slot = 0; slot < ClaimSlot.SLOTS; slot++) {
      batchers.add(new SlotBatcher(slot, store, context.executor(), context.wallClock(), window));
    }
  }

  @Override
  public void start() {
    peers.on(Message.ClaimRequest.class, this::onRequest);
    peers.on(Message.ClaimReply.class, this::onReply);
    peers.onClosed(this::onLinkClosed);
  }

  @Override
  public void stop() {
    // Pending claims complete when the platform answers or their timeout expires.
  }

  /**
   * Claims a key and waits for the result. Blocks the calling thread.
   *
   * @param owner identifies this attempt to run the request; unique among all requests
   * @param timeoutMillis how long to wait, milliseconds
   * @return the result; granted only if the owner holds the key for the whole claim window
   */
  public ClaimResult claim(String keyDigest, String owner, long timeoutMillis) {
    int slot = ClaimSlot.slotOf(keyDigest);
    Link batcher = batcherOf(slot);
    if (batcher == null) {
      return await(batchers.get(slot).submit(keyDigest, owner, false), timeoutMillis);
    }
    ClaimResult verdict =
        requestFrom(batcher, keyDigest, owner, Math.min(timeoutMillis, FORWARD_TIMEOUT_MILLIS));
    if (verdict.verdict() != ClaimSlot.Verdict.UNAVAILABLE) {
      return verdict;
    }
    return await(batchers.get(slot).submit(keyDigest, owner, false), timeoutMillis);
  }

  /**
   * Releases a claim whose request did not run.
   *
   * @param owner the owner that the claim was made for
   * @param timeoutMillis how long to wait, milliseconds
   * @return true when the store confirmed that this owner no longer holds the key
   */
  public boolean release(String keyDigest, String owner, long timeoutMillis) {
    SlotBatcher batcher = batchers.get(ClaimSlot.slotOf(keyDigest));
    ClaimResult verdict = await(batcher.submit(keyDigest, owner, true), timeoutMillis);
    return verdict.verdict() == ClaimSlot.Verdict.GRANTED;
  }

  private @org.jspecify.annotations.Nullable Link batcherOf(int slot) {
    Set<String> names = new HashSet<>();
    names.add(context.identity().daemon());
    peers.links().forEach(link -> names.add(link.peer().daemon()));
    String chosen = Rendezvous.pick("claims/" + slot, names, 1).get(0);
    return peers.linkTo(chosen);
  }

  private ClaimResult requestFrom(Link link, String keyDigest, String owner, long timeoutMillis) {
    long number = numbers.incrementAndGet();
    PendingClaim pending = new PendingClaim(link, new CompletableFuture<>());
    pendingClaims.put(number, pending);
    try {
      if (!link.send(new Message.ClaimRequest(number, keyDigest, owner))) {
        return ClaimResult.UNAVAILABLE;
      }
      return await(pending.verdict(), timeoutMillis);
    } finally {
      pendingClaims.remove(number);
    }
  }

  private static ClaimResult await(CompletableFuture<ClaimResult> verdict, long timeoutMillis) {
    try {
      return verdict.get(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ClaimResult.UNAVAILABLE;
    } catch (ExecutionException | TimeoutException e) {
      return ClaimResult.UNAVAILABLE;
    }
  }

  private void onRequest(Link link, Message.ClaimRequest request) {
    batchers
        .get(ClaimSlot.slotOf(request.key()))
        .submit(request.key(), request.owner(), false)
        .thenAccept(
            verdict ->
                link.send(
                    new Message.ClaimReply(
                        request.number(), verdict.verdict().name(), verdict.owner())));
  }

  private void onReply(Link link, Message.ClaimReply reply) {
    PendingClaim pending = pendingClaims.get(reply.number());
    if (pending != null && pending.link() == link) {
      ClaimSlot.Verdict verdict = ClaimSlot.Verdict.valueOf(reply.verdict());
      pending.verdict().complete(new ClaimResult(verdict, reply.owner()));
    }
  }

  private void onLinkClosed(Link link) {
    for (PendingClaim pending : pendingClaims.values()) {
      if (pending.link() == link) {
        pending.verdict().complete(ClaimResult.UNAVAILABLE);
      }
    }
  }
}
