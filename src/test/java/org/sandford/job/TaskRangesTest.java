package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.collect.RangeSet;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.Json;

class TaskRangesTest {
  private static RangeSet<Integer> randomSubset(Random random, int tasks, int percent) {
    RangeSet<Integer> set = TaskRanges.empty();
    for (int task = 0; task < tasks; task++) {
      if (random.nextInt(100) < percent) {
        set.add(TaskRanges.ofTask(task));
      }
    }
    return set;
  }

  @Test
  void writtenRangesAreReadBackUnchanged() {
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      RangeSet<Integer> set = randomSubset(random, 1 + random.nextInt(300), random.nextInt(101));
      RangeSet<Integer> readBack = TaskRanges.read(TaskRanges.write(set, 1_000_000));
      assertEquals(TaskRanges.count(set), TaskRanges.count(readBack), "seed " + seed);
      for (int task = 0; task < 300; task++) {
        assertEquals(set.contains(task), readBack.contains(task), "seed " + seed + " task " + task);
      }
    }
  }

  @Test
  void writtenRangesKeepTheByteLimitAndNameOnlyFinishedTasks() {
    for (int seed = 0; seed < 5; seed++) {
      RangeSet<Integer> set = randomSubset(new Random(seed), 100_000, 50);
      ArrayNode written = TaskRanges.write(set, 8_000);
      assertTrue(Json.bytes(written).length <= 8_000, "seed " + seed);
      RangeSet<Integer> readBack = TaskRanges.read(written);
      assertTrue(TaskRanges.count(readBack) > 0);
      assertTrue(set.enclosesAll(readBack), "seed " + seed);
    }
  }

  @Test
  void firstTasksComeInAscendingOrder() {
    RangeSet<Integer> set = TaskRanges.empty();
    set.add(TaskRanges.firstTasks(100_000));
    set.remove(TaskRanges.ofTask(1));
    assertEquals(java.util.List.of(0, 2, 3), TaskRanges.first(set, 3));
  }
}
