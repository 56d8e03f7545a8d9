package org.sandford.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.cloud.InstanceType;
import org.sandford.peer.wire.DemandClass;
import org.sandford.placement.CandidateMachine;

class ScaleOutPlannerTest {
  private static final int URGENT = 1;
  private static final int MAX_MACHINES = 100;
  private static final InstancePool SPOT = new InstancePool("m8", "a", true);
  private static final InstancePool ON_DEMAND = new InstancePool("m8", "a", false);
  private static final InstanceType M8 =
      new InstanceType("m8", 8, 0, 64, 1.0, 0.4, 10, 1, List.of("a"));

  private final Set<InstancePool> exhausted = new HashSet<>();
  private final List<CandidateMachine> candidates = new ArrayList<>();

  private static DemandClass arrayDemand(int rank, int tasks) {
    return new DemandClass(
        rank, 1.0, 0.0, 1.0, tasks, true, false, false, false, List.of(), "", 0.0, tasks, Map.of());
  }

  private CandidateMachine addMachine(InstancePool pool) {
    CandidateMachine candidate = pool.candidate("n" + candidates.size(), M8);
    candidates.add(candidate);
    return candidate;
  }

  private Map<InstancePool, Integer> plan(DemandClass... demand) {
    // An idle machine provides the headroom, so none has to be provisioned.
    addMachine(ON_DEMAND);
    return new ScaleOutPlanner(market(), candidates, MAX_MACHINES).plan(List.of(demand));
  }

  private ScaleOutPlanner.Market market() {
    return new ScaleOutPlanner.Market(Map.of("m8", M8), true, pool -> !exhausted.contains(pool));
  }

  @Test
  void placesDemandOnIdleMachinesFirst() {
    assertEquals(Map.of(SPOT, 1), plan(arrayDemand(URGENT, 16)));
  }

  @Test
  void provisionsOnDemandMachinesWhenSpotIsExhausted() {
    exhausted.add(SPOT);
    assertEquals(Map.of(ON_DEMAND, 1), plan(arrayDemand(URGENT, 16)));
  }

  @Test
  void provisionsNothingWhenAllPoolsAreExhausted() {
    exhausted.addAll(List.of(SPOT, ON_DEMAND));
    assertEquals(Map.of(), plan(arrayDemand(URGENT, 16)));
  }

  @Test
  void provisionsHeadroomOnDemand() {
    addMachine(ON_DEMAND).allocate(8, 0, 8);
    ScaleOutPlanner planner = new ScaleOutPlanner(market(), candidates, MAX_MACHINES);
    assertEquals(Map.of(ON_DEMAND, 1), planner.plan(List.of()));
  }

  @Test
  void respectsTheOperatorsMachineLimit() {
    ScaleOutPlanner planner = new ScaleOutPlanner(market(), candidates, 3);
    assertEquals(Map.of(SPOT, 3), planner.plan(List.of(arrayDemand(URGENT, 100))));
  }
}
