package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.constants.JobConstants;

class UnschedulableClassesTest {
  private static final TaskEquivalenceClass TASK_CLASS =
      new TaskEquivalenceClass(1, 0, 1, Set.of(), "", false, false, false);

  private final UnschedulableClasses unschedulable = new UnschedulableClasses();

  @Test
  void containsRecordedAndLargerTaskCounts() {
    unschedulable.beginRound(0, 0);
    unschedulable.add(TASK_CLASS, 3);
    unschedulable.add(TASK_CLASS, 5);
    assertFalse(unschedulable.contains(TASK_CLASS, 2));
    assertTrue(unschedulable.contains(TASK_CLASS, 3));
    assertTrue(unschedulable.contains(TASK_CLASS, 6));
  }

  @Test
  void clearsEntriesWhenFreeResourcesGrew() {
    unschedulable.beginRound(0, 0);
    unschedulable.add(TASK_CLASS, 3);
    unschedulable.beginRound(0, 1);
    assertTrue(unschedulable.contains(TASK_CLASS, 3));
    unschedulable.beginRound(1, 1);
    assertFalse(unschedulable.contains(TASK_CLASS, 3));
  }

  @Test
  void clearsEntriesAfterIdleInterval() {
    unschedulable.beginRound(0, 0);
    unschedulable.add(TASK_CLASS, 3);
    unschedulable.beginRound(0, JobConstants.PLAN_IDLE_MS);
    assertTrue(unschedulable.contains(TASK_CLASS, 3));
    unschedulable.beginRound(0, JobConstants.PLAN_IDLE_MS + 1);
    assertFalse(unschedulable.contains(TASK_CLASS, 3));
  }
}
