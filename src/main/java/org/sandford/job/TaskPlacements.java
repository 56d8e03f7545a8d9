package org.sandford.job;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The placements of one job's tasks, at most one per task. The numbers of running tasks and of
 * placements per zone and machine are updated on every change. Used on the event loop.
 */
final class TaskPlacements {
  private final Map<Integer, TaskPlacement> byTask = new TreeMap<>();
  private final Multiset<String> countByZone = HashMultiset.create();
  private final Multiset<String> countByMachine = HashMultiset.create();
  private int runningCount;

  /** Returns the task's placement, or null when the task waits or is done. */
  TaskPlacement placementOf(int task) {
    return byTask.get(task);
  }

  /** Returns a copy in the order of the tasks, since most callers change placements in the loop. */
  List<TaskPlacement> all() {
    return new ArrayList<>(byTask.values());
  }

  int placementCount() {
    return byTask.size();
  }

  int runningCount() {
    return runningCount;
  }

  /** Returns the number of placements per zone, as a copy. */
  Map<String, Integer> countByZone() {
    Map<String, Integer> zones = new HashMap<>();
    countByZone.entrySet().forEach(zone -> zones.put(zone.getElement(), zone.getCount()));
    return zones;
  }

  /** Returns the machines that have a placement, as a copy. */
  Set<String> machines() {
    return new HashSet<>(countByMachine.elementSet());
  }

  /** Returns whether the machine has this placement of the job and no other. */
  boolean isAloneOnMachine(TaskPlacement placement) {
    return countByMachine.count(placement.machine) == 1;
  }

  /** Records the placement, which replaces a previous one of its task. */
  void put(TaskPlacement placement) {
    TaskPlacement previous = byTask.put(placement.task, placement);
    if (previous != null) {
      removeFromCounts(previous);
    }
    countByZone.add(placement.zone);
    countByMachine.add(placement.machine);
    runningCount += placement.isRunning() ? 1 : 0;
  }

  /** Removes this placement. Returns false when its task has another one or none. */
  boolean remove(TaskPlacement placement) {
    if (!byTask.remove(placement.task, placement)) {
      return false;
    }
    removeFromCounts(placement);
    return true;
  }

  private void removeFromCounts(TaskPlacement placement) {
    countByZone.remove(placement.zone);
    countByMachine.remove(placement.machine);
    runningCount -= placement.isRunning() ? 1 : 0;
  }

  /** Updates the count of running tasks, unless the placement was replaced or removed. */
  void phaseChanged(TaskPlacement placement, boolean ranBefore) {
    if (byTask.get(placement.task) == placement) {
      runningCount += (placement.isRunning() ? 1 : 0) - (ranBefore ? 1 : 0);
    }
  }
}
