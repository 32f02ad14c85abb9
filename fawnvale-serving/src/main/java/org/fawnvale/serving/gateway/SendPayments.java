package org.fawnvale.serving.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Pays for the sendings of one request: the first one is free, each that may arrive past it takes
 * one retry from the budget of its service. Callers of the methods hold the lock.
 */
final class SendPayments {

  /** The pause between two requests to an empty budget for moves, which are checked often. */
  private static final long BUDGET_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Gateway gateway;
  private final String service;
  private SendPayment next;
  private long budgetEmptyNanos = System.nanoTime() - BUDGET_PAUSE_NANOS;

  SendPayments(Gateway gateway, CallerRequest request) {
    this.gateway = gateway;
    this.service = request.demand().service();
    this.next = request.isForwarded() ? SendPayment.FORWARDER : SendPayment.FIRST;
  }

  /** Returns whether one more sending is paid for, or pays for it; false if the budget is empty. */
  boolean isPaid() {
    if (next == SendPayment.NOBODY && gateway.takeRetry(service)) {
      next = SendPayment.BUDGET;
    }
    return next != SendPayment.NOBODY;
  }

  /** As {@link #isPaid}, but asks an empty budget only now and then. */
  boolean isMovePaid() {
    long now = System.nanoTime();
    if (now - budgetEmptyNanos < BUDGET_PAUSE_NANOS) {
      return false;
    }
    boolean paid = isPaid();
    budgetEmptyNanos = paid ? budgetEmptyNanos : now;
    return paid;
  }

  /** Spends the payment on a sending, and returns it. */
  SendPayment spend() {
    SendPayment spent = next;
    next = SendPayment.NOBODY;
    return spent;
  }

  /** Takes back what was spent on an attempt that nobody has received. */
  void takeBack(RunningAttempt unreceived) {
    next = unreceived.payment();
  }
}
