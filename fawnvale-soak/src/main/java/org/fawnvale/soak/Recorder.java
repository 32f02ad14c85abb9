package org.fawnvale.soak;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.fawnvale.standins.ServingGroup;
import org.fawnvale.standins.WorkerObserver;

/** Records the events of a run; safe for use by any thread. */
final class Recorder implements WorkerObserver {

  private final Queue<Event> events = new ConcurrentLinkedQueue<>();
  private final long startNanos = System.nanoTime();
  private final LocalTime startTime = LocalTime.now(ZoneOffset.UTC);

  long now() {
    return System.nanoTime() - startNanos;
  }

  void sent(String attempt, int daemon, RequestKind kind) {
    events.add(new Event.Sent(now(), attempt, daemon, kind));
  }

  void answered(String attempt, Answer answer) {
    events.add(new Event.Answered(now(), attempt, answer));
  }

  void closedUnread(String attempt) {
    events.add(new Event.ClosedUnread(now(), attempt));
  }

  void signalled(int daemon, String what) {
    events.add(new Event.Signalled(now(), daemon, what));
  }

  void faultInjected(String text) {
    events.add(new Event.Struck(now(), text));
  }

  void probed(long sentNanos, int daemon, long version, int status) {
    events.add(new Event.Probed(sentNanos, now(), daemon, version, status));
  }

  void daemonSeen(int daemon, boolean alive) {
    events.add(new Event.DaemonSeen(now(), daemon, alive));
  }

  void readersSilent(int daemon, boolean begins, boolean alive) {
    events.add(new Event.ReadersSilent(now(), daemon, begins, alive));
  }

  void workersCut(int daemon, boolean begins) {
    events.add(new Event.WorkersCut(now(), daemon, begins));
  }

  void storeTrouble(boolean begins) {
    events.add(new Event.StoreTrouble(now(), begins));
  }

  @Override
  public void configured(long version) {
    events.add(new Event.Configured(now(), version));
  }

  @Override
  public void leavesListed(String worker) {
    events.add(new Event.LeavesListed(now(), worker));
  }

  @Override
  public void evacuated(String dataCentre, boolean begins) {
    events.add(new Event.Evacuated(now(), dataCentre, begins));
  }

  @Override
  public void arrived(String attempt, String worker) {
    events.add(new Event.Arrived(now(), attempt, worker));
  }

  @Override
  public void began(String attempt, String worker) {
    events.add(new Event.Began(now(), attempt, worker));
  }

  @Override
  public void answers(String attempt, String worker, long restMillis, boolean leaving) {
    if (restMillis > 0 || leaving) {
      events.add(new Event.Asked(now(), attempt, worker, restMillis, leaving));
    }
  }

  @Override
  public void namesLimit(String attempt, String worker, String limit) {
    events.add(new Event.NamedLimit(now(), attempt, worker, limit));
  }

  void limitEnded(String worker) {
    events.add(new Event.NamedLimit(now(), "", worker, ""));
  }

  @Override
  public void started(String worker) {
    events.add(new Event.Started(now(), worker));
  }

  @Override
  public void returnsCold(String worker, long millis) {
    events.add(new Event.ReturnedCold(now(), worker, millis));
  }

  @Override
  public void ended(String attempt, String worker) {
    events.add(new Event.Ended(now(), attempt, worker));
  }

  void forwarded(String attempt) {
    events.add(new Event.Forwarded(now(), attempt));
  }

  void streamsHeld(String worker, long millis) {
    events.add(new Event.StreamsHeld(now(), worker, millis));
  }

  void full(String worker, long millis) {
    events.add(new Event.Full(now(), worker, millis));
  }

  void silent(String worker, long millis) {
    events.add(new Event.Silent(now(), worker, millis));
  }

  @Override
  public void impaired(String worker, long millis) {
    events.add(new Event.Impaired(now(), worker, millis));
  }

  @Override
  public void answersRepeated(String worker, long millis) {
    events.add(new Event.AnswersRepeated(now(), worker, millis));
  }

  @Override
  public void groupOpened(ServingGroup group) {
    events.add(new Event.GroupOpened(now(), group.name(), group.epoch()));
  }

  @Override
  public void groupEnded(ServingGroup group, boolean whole) {
    events.add(new Event.GroupEnded(now(), group.name(), group.epoch(), whole));
  }

  @Override
  public void memberLost(String worker, ServingGroup group) {
    events.add(new Event.MemberLost(now(), worker, group.name(), group.epoch()));
  }

  void dissolved(Dissolutions.Dissolution dissolution) {
    long sinceStart = Duration.between(startTime, dissolution.time()).toNanos();
    long at = Math.floorMod(sinceStart, Duration.ofDays(1).toNanos());
    events.add(
        new Event.Dissolved(at, dissolution.group(), dissolution.epoch(), dissolution.reason()));
  }

  RunHistory history() {
    return new RunHistory(List.copyOf(events));
  }
}
