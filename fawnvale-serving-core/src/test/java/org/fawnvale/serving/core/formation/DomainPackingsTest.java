package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against plans that take seconds with many models, and against groups that don't fit. */
class DomainPackingsTest {

  /** What a plan may look at per domain; each takes some microseconds. */
  private static final int PACKINGS_BOUND = 100;

  private static EngineSpec engine(List<Integer> sizes) {
    EngineSpec other = GroupPlannerTest.ENGINE;
    List<ModelSpec> models = new ArrayList<>();
    for (int index = 0; index < sizes.size(); index++) {
      models.add(new ModelSpec("m" + index, sizes.get(index), 1.0 / sizes.size(), 1, 9_000, 900));
    }
    return new EngineSpec(
        other.slots(),
        other.kvTokens(),
        other.stride(),
        other.chunk(),
        models,
        other.stepMillis(),
        other.perSequenceMillis(),
        other.contextMillis(),
        other.readTokensPerSecond(),
        other.pairsMillis(),
        other.loadsPerSecond(),
        other.loadsAtOnce(),
        other.formMillis(),
        other.usual());
  }

  private static List<Node> nodes(int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> MixPlannerTest.node("n" + index, "d", null))
        .toList();
  }

  private static List<List<Integer>> packings(List<Integer> sizes, int count) {
    return new DomainPackings(engine(sizes), nodes(count), JoinRule.ANY).maximal();
  }

  private static int members(List<Integer> sizes, List<Integer> packing) {
    return IntStream.range(0, sizes.size()).map(i -> sizes.get(i) * packing.get(i)).sum();
  }

  private static Set<List<Integer>> allMaximal(List<Integer> sizes, int count) {
    Set<List<Integer>> all = new HashSet<>(List.of(List.of()));
    for (int size : sizes) {
      Set<List<Integer>> longer = new HashSet<>();
      for (List<Integer> shorter : all) {
        for (int groups = 0; groups * size <= count; groups++) {
          List<Integer> next = new ArrayList<>(shorter);
          next.add(groups);
          longer.add(next);
        }
      }
      all = longer;
    }
    int smallest = sizes.stream().mapToInt(Integer::intValue).min().orElseThrow();
    all.removeIf(packing -> members(sizes, packing) > count);
    all.removeIf(packing -> members(sizes, packing) + smallest <= count);
    return all;
  }

  @Property(tries = 300)
  void twoModelsHaveAllTheirPackings(
      @ForAll @Size(2) List<@IntRange(min = 2, max = 32) Integer> sizes,
      @ForAll @IntRange(max = 60) int count) {
    List<List<Integer>> packings = packings(sizes, count);
    assertThat(packings).doesNotHaveDuplicates();
    assertThat(new HashSet<>(packings)).isEqualTo(allMaximal(sizes, count));
  }

  @ParameterizedTest
  @CsvSource({"4;3;2;2;1, 37", "16;8;4;4;2, 37", "2;2;2;2;2;2;2;2, 64", "32;16;8;4;2;2, 200"})
  void manyModelsHaveFewPackingsAndEachLeavesNoRoom(String text, int count) {
    List<Integer> sizes = List.of(text.split(";")).stream().map(Integer::valueOf).toList();
    List<List<Integer>> packings = packings(sizes, count);
    assertThat(packings).hasSizeBetween(1, PACKINGS_BOUND).doesNotHaveDuplicates();
    int smallest = sizes.stream().mapToInt(Integer::intValue).min().orElseThrow();
    assertThat(packings)
        .allSatisfy(
            packing -> assertThat(members(sizes, packing)).isBetween(count - smallest + 1, count));
  }

  @Test
  void eachOfManyModelsGetsGroupsByItsDemand() {
    List<Integer> sizes = List.of(4, 3, 2, 2, 1);
    Map<String, List<Node>> domains = new HashMap<>();
    IntStream.range(0, 6).forEach(domain -> domains.put("d" + domain, nodes(37)));
    Map<String, Double> demand = Map.of("m0", 20.0, "m1", 10.0, "m2", 10.0, "m3", 10.0, "m4", 5.0);
    MixPlanner planner = new MixPlanner(engine(sizes), new ModelDemand(demand));
    Map<String, List<Integer>> choices = planner.choose(domains, Map.of(), JoinRule.ANY);
    List<Integer> groups =
        IntStream.range(0, sizes.size())
            .mapToObj(model -> choices.values().stream().mapToInt(c -> c.get(model)).sum())
            .toList();
    assertThat(members(sizes, groups)).isEqualTo(6 * 37);
    assertThat(groups.get(0)).isBetween(20, 40);
    assertThat(groups.get(1)).isBetween(10, 20);
    assertThat(groups.get(2)).isBetween(10, 20);
    assertThat(groups.get(3)).isBetween(10, 20);
    assertThat(groups.get(4)).isBetween(5, 12);
  }
}
