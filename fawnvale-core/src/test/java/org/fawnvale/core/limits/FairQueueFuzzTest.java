package org.fawnvale.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against lost or reordered items, and against flows that do not get their share. */
class FairQueueFuzzTest {

  /** Offers an item to a flow, or polls the queue when the flow is negative. */
  record Step(int flow, int cost) {}

  @Property(tries = 500, seed = "20261202")
  void keepsAllItemsAndTheirOrderWithinEachFlow(@ForAll("steps") List<Step> steps) {
    FairQueue<int[]> queue = FairQueue.create(10);
    Map<Integer, Integer> offered = new HashMap<>();
    Map<Integer, Integer> polled = new HashMap<>();
    int expectedSize = 0;
    for (Step step : steps) {
      if (step.flow() < 0) {
        int[] item = queue.poll();
        assertThat(item == null).isEqualTo(expectedSize == 0);
        if (item != null) {
          expectedSize--;
          assertThat(item[1]).isEqualTo(polled.merge(item[0], 1, Integer::sum));
        }
        continue;
      }
      int next = offered.getOrDefault(step.flow(), 0) + 1;
      boolean hasRoom = next - polled.getOrDefault(step.flow(), 0) <= 10;
      int[] item = {step.flow(), next};
      assertThat(queue.offer("f" + step.flow(), 1 + step.flow(), step.cost(), item))
          .isEqualTo(hasRoom);
      if (hasRoom) {
        offered.put(step.flow(), next);
        expectedSize++;
      }
      assertThat(queue.size()).isEqualTo(expectedSize);
    }
  }

  @Property(tries = 100, seed = "20261202")
  void sharesFollowTheWeights(@ForAll("weights") List<Integer> weights) {
    FairQueue<Integer> queue = FairQueue.create(100);
    int[] served = new int[weights.size()];
    for (int flow = 0; flow < weights.size(); flow++) {
      queue.offer("f" + flow, weights.get(flow), 1, flow);
      queue.offer("f" + flow, weights.get(flow), 1, flow);
    }
    int sum = weights.stream().mapToInt(Integer::intValue).sum();
    for (int i = 0; i < sum * 20; i++) {
      int flow = queue.poll();
      served[flow]++;
      queue.offer("f" + flow, weights.get(flow), 1, flow);
    }
    for (int flow = 0; flow < weights.size(); flow++) {
      assertThat(served[flow]).isBetween(weights.get(flow) * 20 - 3, weights.get(flow) * 20 + 3);
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.integers().between(-3, 3), Arbitraries.integers().between(1, 5))
        .as(Step::new)
        .list()
        .ofMaxSize(200);
  }

  @Provide
  Arbitrary<List<Integer>> weights() {
    return Arbitraries.integers().between(1, 8).list().ofMinSize(2).ofMaxSize(5);
  }
}
