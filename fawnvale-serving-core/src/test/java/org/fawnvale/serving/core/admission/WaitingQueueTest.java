package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which requests wait, in which order they leave, and which are refused. */
class WaitingQueueTest {

  private final WaitingQueue<String> queue = new WaitingQueue<>(3);

  private boolean offer(String request, int urgency, long deadline, double places) {
    return queue.offer(new Waiting<>(request, "m", urgency, deadline, deadline / 2), places);
  }

  /** Guards against less urgent requests, and those with more time left, that go first. */
  @Test
  void requestsLeaveByUrgencyThenByDeadline() {
    offer("late", 3, 20, 9);
    offer("early", 3, 10, 9);
    offer("urgent", 1, 30, 9);
    for (String expected : new String[] {"urgent", "early", "late"}) {
      assertThat(queue.first("m")).isEqualTo(expected);
      queue.remove(expected);
    }
    assertThat(queue.first("m")).isNull();
    assertThat(queue.models()).isEmpty();
  }

  /** Guards against requests that are held although no place will be free for them. */
  @Test
  void onlyAsManyWaitAsWillFindAPlace() {
    assertThat(offer("one", 3, 10, 2.9)).isTrue();
    assertThat(offer("two", 3, 10, 2.9)).isTrue();
    assertThat(offer("three", 3, 5, 2.9)).isFalse();
    assertThat(queue.offer(new Waiting<>("other", "n", 9, 10, 5), 1)).isTrue();
    assertThat(queue.offer(new Waiting<>("beyond", "o", 0, 10, 5), 1)).isFalse();
    assertThat(queue.size()).isEqualTo(3);
  }

  /** Guards against a more urgent request that is refused while a less urgent one waits. */
  @Test
  void moreUrgentRequestTakesThePlaceOfTheLast() {
    offer("first", 3, 10, 2);
    offer("last", 3, 20, 2);
    assertThat(offer("urgent", 1, 90, 2)).isTrue();
    assertThat(queue.size()).isEqualTo(2);
    assertThat(queue.expire(0)).containsExactly("last");
    assertThat(queue.expire(0)).isEmpty();
  }

  /** Guards against requests that wait for ever, also when the monotonic clock overflows. */
  @Test
  void waitsEnd() {
    queue.offer(new Waiting<>("one", "m", 0, Long.MIN_VALUE + 9, Long.MIN_VALUE + 4), 9);
    queue.offer(new Waiting<>("two", "m", 0, Long.MAX_VALUE, Long.MAX_VALUE - 4), 9);
    assertThat(queue.first("m")).isEqualTo("two");
    assertThat(queue.expire(Long.MAX_VALUE - 5)).isEmpty();
    assertThat(queue.expire(Long.MAX_VALUE)).containsExactly("two");
    assertThat(queue.expire(Long.MIN_VALUE + 4)).containsExactly("one");
  }
}
