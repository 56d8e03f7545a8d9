package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.model.JobSpec;
import org.sandford.placement.ResourceRequest;

class JobTest {
  private static final int TASKS = 12;

  private static Job arrayJob() {
    JobSpec spec =
        new JobSpec(
            "wk-1",
            "any",
            "red",
            JobSpec.Shape.ARRAY,
            JobSpec.Rank.NORMAL,
            TASKS,
            1,
            0,
            1,
            Set.of(),
            "",
            false,
            false,
            true,
            "i",
            1,
            5,
            0,
            0,
            0);
    return new Job(spec, 0, false, Job.Phase.OPEN, 0);
  }

  private static TaskPlacement place(Job job, int task, int machine) {
    return new TaskPlacement(
        job, task, task, "n" + machine, 1, "c0", 0, "z" + machine % 2, TaskPhase.PLACED);
  }

  private static void assertCounts(List<TaskPlacement> placements, ResourceRequest request) {
    Map<String, Integer> zones = new HashMap<>();
    Set<String> machines = new HashSet<>();
    for (TaskPlacement placement : placements) {
      zones.merge(placement.zone, 1, Integer::sum);
      machines.add(placement.machine);
    }
    assertEquals(zones, request.tasksByZone());
    assertEquals(machines, request.machinesInUse());
  }

  @Test
  void requestCountsPlacementsThroughAllChanges() {
    Random random = new Random(1);
    Job job = arrayJob();
    for (int i = 0; i < 500; i++) {
      int task = random.nextInt(TASKS);
      TaskPlacement current = job.placementOf(task);
      if (current != null && random.nextBoolean()) {
        job.releasePlacement(current, i);
        // A second release changes nothing.
        job.releasePlacement(current, i);
      } else {
        job.recordPlacement(place(job, task, random.nextInt(5)));
      }
      List<TaskPlacement> placements = job.placements();
      assertCounts(placements, job.resourceRequest());
      if (!placements.isEmpty()) {
        TaskPlacement excluded = placements.remove(random.nextInt(placements.size()));
        assertCounts(placements, job.resourceRequestWithout(excluded));
      }
    }
  }

  @Test
  void exitAwaitsAcknowledgementOnlyOnce() {
    Job job = arrayJob();
    assertTrue(job.exitsToAcknowledge.add(new Job.UnacknowledgedExit(3, 7, "n1")));
    assertFalse(job.exitsToAcknowledge.add(new Job.UnacknowledgedExit(3, 7, "n1")));
  }

  @Test
  void runningCountFollowsTheTaskPlacementOnly() {
    Job job = arrayJob();
    TaskPlacement earlier = place(job, 2, 0);
    TaskPlacement later = place(job, 2, 1);
    job.recordPlacement(earlier);
    earlier.transitionTo(TaskPhase.RUNNING);
    assertEquals(1, job.runningCount());
    job.recordPlacement(later);
    assertEquals(0, job.runningCount());
    earlier.transitionTo(TaskPhase.STOPPING);
    later.transitionTo(TaskPhase.RUNNING);
    assertEquals(1, job.runningCount());
  }

  @Test
  void stoppingTaskNeverRunsAgain() {
    TaskPlacement placement = place(arrayJob(), 0, 0);
    placement.transitionTo(TaskPhase.STOPPING);
    placement.transitionTo(TaskPhase.RUNNING);
    assertEquals(TaskPhase.STOPPING, placement.phase());
  }

  @Test
  void endedJobRefusesOtherPhases() {
    Job job = arrayJob();
    job.transitionTo(Job.Phase.CANCELLING);
    assertThrows(IllegalStateException.class, () -> job.transitionTo(Job.Phase.OPEN));
    job.transitionTo(Job.Phase.CANCELLED);
    assertThrows(IllegalStateException.class, () -> job.transitionTo(Job.Phase.DONE));
  }
}
