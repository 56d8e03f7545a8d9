package org.sandford.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.placement.Preemption.Victim;

class PreemptionTest {
  private static final Need NEED =
      new Need(
          "wk-9", 1, 50, 4, 0, 1, Set.of(), "", false, false, false, false, false, 2, Map.of(),
          Set.of(), Set.of(), "");

  private static Room full(String name) {
    Room room = new Room(name, "c0", "m", "a", false, true, 8, 0, 64);
    room.take(8, 0, 8);
    return room;
  }

  private static Victim victim(String machine, int task, int rank, double cpus, double ageS) {
    return new Victim(machine, "t", "wk-1", task, 1, rank, cpus, 0, 1, cpus * ageS);
  }

  @Test
  void theLeastProgressIsLost() {
    List<Victim> victims = List.of(victim("n0", 0, 2, 4, 50), victim("n1", 1, 2, 4, 5));
    List<Preemption.Eviction> out =
        Preemption.choose(NEED, 1, List.of(full("n0"), full("n1")), victims, true);
    assertEquals(1, out.size());
    assertEquals("n1", out.get(0).room().machine);
  }

  @Test
  void theLowestRankOfAMachineGoesFirst() {
    List<Victim> victims = List.of(victim("n0", 0, 2, 4, 1), victim("n0", 1, 3, 4, 90));
    List<Preemption.Eviction> out = Preemption.choose(NEED, 1, List.of(full("n0")), victims, true);
    assertEquals(1, out.get(0).victims().get(0).task());
  }

  @Test
  void whatIsKeptForTheJobIsNotMadeOnceMore() {
    Room room = full("n0");
    room.kept = List.of(new Room.Kept("wk-9", 1, 50, 4, 0, 1));
    List<Preemption.Eviction> out =
        Preemption.choose(NEED, 1, List.of(room), List.of(victim("n0", 0, 2, 4, 1)), true);
    assertEquals(List.of(), out.get(0).victims());
  }

  @Test
  void keptRoomIsLeftToThoseThatGoBefore() {
    Room room = new Room("n0", "c0", "m", "a", false, true, 8, 0, 64);
    room.kept =
        List.of(new Room.Kept("wk-1", 1, 40, 4, 0, 1), new Room.Kept("wk-2", 1, 60, 4, 0, 1));
    assertEquals(1, NEED.fitting(room), "one went before, the other after");
  }

  @Test
  void nobodyIsStoppedForAPlanThatFailsAllTheSame() {
    assertNull(
        Preemption.choose(NEED, 2, List.of(full("n0")), List.of(victim("n0", 0, 2, 4, 1)), true));
  }
}
