package org.sandford.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PlannerTest {
  private static CandidateMachine candidate(
      String name, String zone, double cpus, double usedCpus, boolean own) {
    CandidateMachine candidate =
        new CandidateMachine(name, "c0", "m", zone, false, own, cpus, 0, 64);
    candidate.allocate(usedCpus, 0, 0);
    return candidate;
  }

  private static ResourceRequest request(
      double cpus, int total, boolean spreadAcrossZones, boolean sameZone, boolean service) {
    return new ResourceRequest(
        "wk-1",
        1,
        0,
        cpus,
        0,
        1,
        Set.of(),
        "",
        false,
        sameZone,
        spreadAcrossZones,
        service,
        false,
        total,
        Map.of(),
        Set.of(),
        Set.of(),
        "i");
  }

  @Test
  void randomPlansRespectFreeResourcesAndZoneRules() {
    for (int seed = 0; seed < 400; seed++) {
      Random random = new Random(seed);
      List<CandidateMachine> candidates = new ArrayList<>();
      Map<String, Double> freeBefore = new HashMap<>();
      for (int i = 0; i < 1 + random.nextInt(12); i++) {
        double cpus = 1 + random.nextInt(16);
        CandidateMachine candidate =
            candidate(
                "n" + i,
                "z" + random.nextInt(3),
                cpus,
                random.nextInt((int) cpus + 1),
                random.nextBoolean());
        candidates.add(candidate);
        freeBefore.put(candidate.machine, candidate.freeCpus);
      }
      boolean spreadAcrossZones = random.nextBoolean();
      int tasks = 1 + random.nextInt(20);
      ResourceRequest request =
          request(
              1 + random.nextInt(4),
              tasks,
              spreadAcrossZones,
              !spreadAcrossZones && random.nextBoolean(),
              random.nextBoolean());
      boolean allOrNone = random.nextBoolean();
      Planner.Plan plan = new Planner().place(request, tasks, candidates, allOrNone);
      if (plan == null) {
        candidates.forEach(
            candidate ->
                assertEquals(
                    freeBefore.get(candidate.machine),
                    candidate.freeCpus,
                    "a failed plan took resources"));
        continue;
      }
      Map<String, Integer> zones = new HashMap<>();
      plan.allocations()
          .forEach(
              allocation ->
                  zones.merge(allocation.candidate().zone, allocation.tasks(), Integer::sum));
      int placed = plan.allocations().stream().mapToInt(Planner.Allocation::tasks).sum();
      assertEquals(plan.tasks(), placed);
      assertTrue(placed <= tasks && (!allOrNone || placed == tasks), "seed " + seed);
      candidates.forEach(
          candidate ->
              assertTrue(
                  candidate.freeCpus > -1e-6 && candidate.freeRam > -1e-6,
                  "free resources of " + candidate.machine));
      for (int inZone : zones.values()) {
        assertTrue(inZone <= request.maxTasksPerZone(), "tasks per zone, seed " + seed);
      }
      assertTrue(!request.sameZone() || zones.size() == 1, "same zone, seed " + seed);
    }
  }

  @Test
  void allOrNoneReturnsNoPlanUnlessEveryTaskFits() {
    assertNull(
        new Planner()
            .place(
                request(4, 3, false, false, false),
                3,
                List.of(candidate("n0", "a", 8, 0, true)),
                true));
    assertNotNull(
        new Planner()
            .place(
                request(4, 2, false, false, false),
                2,
                List.of(candidate("n0", "a", 8, 0, true)),
                true));
  }

  @Test
  void prefersTheMachineWithHigherUtilization() {
    CandidateMachine fuller = candidate("fuller", "a", 16, 8, true);
    Planner.Plan plan =
        new Planner()
            .place(
                request(2, 1, false, false, false),
                1,
                List.of(candidate("empty", "a", 16, 0, true), fuller),
                true);
    assertEquals("fuller", plan.allocations().get(0).candidate().machine);
  }

  @Test
  void prefersMachinesOfTheOwnShard() {
    Planner.Plan plan =
        new Planner()
            .place(
                request(2, 1, false, false, false),
                1,
                List.of(candidate("other", "a", 16, 8, false), candidate("own", "a", 16, 0, true)),
                true);
    assertEquals("own", plan.allocations().get(0).candidate().machine);
  }

  @Test
  void scoredCandidatesDoNotGrowWithTheNumberOfTasks() {
    List<CandidateMachine> candidates = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      candidates.add(
          new CandidateMachine("n" + i, "c0", "m", "z" + i % 3, false, true, 10_000, 0, 1e9));
    }
    Planner planner = new Planner();
    Planner.Plan plan =
        planner.place(request(1, 100_000, false, false, false), 100_000, candidates, true);
    assertEquals(100_000, plan.tasks());
    assertTrue(
        planner.scoredCandidates() <= 40L * 40,
        "scored " + planner.scoredCandidates() + " candidates");
  }
}
