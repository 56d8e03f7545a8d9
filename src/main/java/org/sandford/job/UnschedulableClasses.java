package org.sandford.job;

import java.util.HashMap;
import java.util.Map;
import org.sandford.constants.JobConstants;

/**
 * The task equivalence classes that could not be placed, with the smallest number of tasks that did
 * not fit. An entry is valid until free resources may have grown, and for {@link
 * JobConstants#PLAN_IDLE_MS} at the most. Runs on the event loop.
 */
final class UnschedulableClasses {
  private final Map<TaskEquivalenceClass, Integer> minUnschedulableTasks = new HashMap<>();

  /** Whether {@code capacityGrowthCount} and {@code validSinceMs} are set. */
  private boolean initialized;

  private long capacityGrowthCount;
  private long validSinceMs;

  /**
   * Begins a planning round and drops entries that are no longer valid.
   *
   * @param growthCount a counter that rises whenever free resources may have grown
   */
  void beginRound(long growthCount, long nowMs) {
    if (!initialized
        || growthCount != capacityGrowthCount
        || nowMs - validSinceMs > JobConstants.PLAN_IDLE_MS) {
      initialized = true;
      capacityGrowthCount = growthCount;
      validSinceMs = nowMs;
      minUnschedulableTasks.clear();
    }
  }

  /** Returns whether this number of tasks of the class is known not to fit. */
  boolean contains(TaskEquivalenceClass equivalenceClass, int tasks) {
    return minUnschedulableTasks.getOrDefault(equivalenceClass, Integer.MAX_VALUE) <= tasks;
  }

  /** Records that this number of tasks of the class does not fit, nor does any larger one. */
  void add(TaskEquivalenceClass equivalenceClass, int tasks) {
    minUnschedulableTasks.merge(equivalenceClass, tasks, Math::min);
  }
}
