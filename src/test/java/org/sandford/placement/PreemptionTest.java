package org.sandford.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.placement.Preemption.Victim;

class PreemptionTest {
  private static final ResourceRequest REQUEST =
      new ResourceRequest(
          "wk-9", 1, 50, 4, 0, 1, Set.of(), "", false, false, false, false, false, 2, Map.of(),
          Set.of(), Set.of(), "");

  private static CandidateMachine fullMachine(String name) {
    CandidateMachine candidate = new CandidateMachine(name, "c0", "m", "a", false, true, 8, 0, 64);
    candidate.allocate(8, 0, 8);
    return candidate;
  }

  private static Victim victim(String machine, int task, int rank, double cpus, double ageS) {
    return new Victim(machine, "t", "wk-1", task, 1 + task, rank, cpus, 0, 1, cpus * ageS);
  }

  @Test
  void preemptsTheTaskWithTheLeastProgress() {
    List<Victim> victims = List.of(victim("n0", 0, 2, 4, 50), victim("n1", 1, 2, 4, 5));
    List<Preemption.Eviction> evictions =
        Preemption.chooseEvictions(
            REQUEST, 1, List.of(fullMachine("n0"), fullMachine("n1")), victims, true);
    assertEquals(1, evictions.size());
    assertEquals("n1", evictions.get(0).candidate().machine);
  }

  @Test
  void preemptsTheLowestRankOfAMachineFirst() {
    List<Victim> victims = List.of(victim("n0", 0, 2, 4, 1), victim("n0", 1, 3, 4, 90));
    List<Preemption.Eviction> evictions =
        Preemption.chooseEvictions(REQUEST, 1, List.of(fullMachine("n0")), victims, true);
    assertEquals(1, evictions.get(0).victims().get(0).task());
  }

  @Test
  void preemptsNothingWhereResourcesAreAlreadyReservedForTheJob() {
    CandidateMachine candidate = fullMachine("n0");
    candidate.reservations = List.of(new CandidateMachine.Reservation("wk-9", 1, 50, 4, 0, 1));
    List<Preemption.Eviction> evictions =
        Preemption.chooseEvictions(
            REQUEST, 1, List.of(candidate), List.of(victim("n0", 0, 2, 4, 1)), true);
    assertEquals(List.of(), evictions.get(0).victims());
  }

  @Test
  void leavesReservedResourcesToJobsThatGoFirst() {
    CandidateMachine candidate = new CandidateMachine("n0", "c0", "m", "a", false, true, 8, 0, 64);
    candidate.reservations =
        List.of(
            new CandidateMachine.Reservation("wk-1", 1, 40, 4, 0, 1),
            new CandidateMachine.Reservation("wk-2", 1, 60, 4, 0, 1));
    assertEquals(1, REQUEST.countFitting(candidate), "only wk-1 goes before the job");
  }

  private static Victim gangVictim(String machine, int task, double lossCpuS) {
    return new Victim(machine, "t", "wk-2", task, 7, 2, 4, 0, 1, 0)
        .asPartOfGang("wk-2@7", lossCpuS);
  }

  @Test
  void countsTheLossOfAWholeGang() {
    List<CandidateMachine> candidates =
        List.of(fullMachine("n0"), fullMachine("n1"), fullMachine("n2"), fullMachine("n3"));
    List<Victim> victims =
        List.of(
            victim("n0", 0, 2, 4, 20),
            gangVictim("n1", 0, 100),
            victim("n2", 1, 2, 4, 22),
            gangVictim("n3", 1, 100));
    List<Preemption.Eviction> one =
        Preemption.chooseEvictions(REQUEST, 1, candidates, victims, true);
    assertEquals(
        "n0", one.get(0).candidate().machine, "losses: 80 for the array, 100 for the gang");
    List<Preemption.Eviction> two =
        Preemption.chooseEvictions(REQUEST, 2, candidates, victims, true);
    assertEquals(
        List.of("n0", "n2"),
        two.stream().map(eviction -> eviction.candidate().machine).toList(),
        "chosen one task at a time");
    List<Preemption.Eviction> four =
        Preemption.chooseEvictions(REQUEST, 4, candidates, victims, true);
    assertEquals(4, four.size());
  }

  @Test
  void countsTheLossOfAGangOnce() {
    List<CandidateMachine> candidates =
        List.of(fullMachine("n1"), fullMachine("n2"), fullMachine("n3"));
    List<Victim> victims =
        List.of(gangVictim("n1", 0, 100), victim("n2", 1, 2, 4, 26), gangVictim("n3", 1, 100));
    List<Preemption.Eviction> two =
        Preemption.chooseEvictions(REQUEST, 2, candidates, victims, true);
    assertEquals(
        List.of("n1", "n3"), two.stream().map(eviction -> eviction.candidate().machine).toList());
  }

  @Test
  void choosesAZoneThatHoldsTheWholeJob() {
    ResourceRequest sameZone =
        new ResourceRequest(
            "wk-9", 1, 50, 4, 0, 1, Set.of(), "", false, true, false, false, true, 2, Map.of(),
            Set.of(), Set.of(), "");
    List<CandidateMachine> candidates =
        List.of(fullMachine("n0"), fullMachineInZone("n1", "b"), fullMachineInZone("n2", "b"));
    List<Victim> victims =
        List.of(victim("n0", 0, 2, 4, 1), victim("n1", 1, 2, 4, 50), victim("n2", 2, 2, 4, 50));
    List<Preemption.Eviction> evictions =
        Preemption.chooseEvictions(sameZone, 2, candidates, victims, true);
    assertEquals(
        List.of("n1", "n2"),
        evictions.stream().map(eviction -> eviction.candidate().machine).sorted().toList());
  }

  private static CandidateMachine fullMachineInZone(String name, String zone) {
    CandidateMachine candidate = new CandidateMachine(name, "c0", "m", zone, false, true, 8, 0, 64);
    candidate.allocate(8, 0, 8);
    return candidate;
  }

  @Test
  void preemptsNothingWhenNotAllTasksFit() {
    assertNull(
        Preemption.chooseEvictions(
            REQUEST, 2, List.of(fullMachine("n0")), List.of(victim("n0", 0, 2, 4, 1)), true));
  }
}
