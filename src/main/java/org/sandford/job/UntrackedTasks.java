package org.sandford.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.sandford.cloud.InstanceType;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;

/**
 * Tasks on machines that belong to a team of this controller but to no attempt that it tracks. A
 * job that was cancelled under a former owner is not among the open jobs that the new owner loads,
 * yet its tasks use resources until they are gone. They count against the team's limit like any
 * other.
 *
 * <p>Stores only machines with such tasks, so that counting does not iterate over all machines.
 * Used on the event loop.
 */
final class UntrackedTasks {
  /**
   * The untracked tasks on one machine.
   *
   * @param freeResources the most that tasks of unknown size may use on the machine
   */
  private record MachineTasks(List<TaskSnapshot> tasks, Resources freeResources) {}

  /** The team in a snapshot of a task whose job the machine's owner does not know. */
  private static final String UNKNOWN_TEAM = "";

  private final OwnedJobs owned;
  private final JobReader jobReader;
  private final Function<String, InstanceType> instanceTypeByName;
  private final Map<String, MachineTasks> byMachine = new HashMap<>();

  UntrackedTasks(
      OwnedJobs owned, JobReader jobReader, Function<String, InstanceType> instanceTypeByName) {
    this.owned = owned;
    this.jobReader = jobReader;
    this.instanceTypeByName = instanceTypeByName;
  }

  /**
   * Updates the machine's untracked tasks from its snapshot. A reconciled snapshot lists all tasks
   * on the machine. Tasks that any other snapshot lacks are kept, since they may still run.
   */
  void update(MachineSnapshot snapshot) {
    List<TaskSnapshot> untracked = new ArrayList<>();
    MachineTasks previous = byMachine.get(snapshot.machine);
    if (!snapshot.reconciled && previous != null) {
      untracked.addAll(previous.tasks);
    }
    for (TaskSnapshot task : snapshot.tasks) {
      if (countsAsUntracked(task)
          && untracked.stream().noneMatch(other -> sameAttempt(other, task))) {
        untracked.add(task);
      }
    }
    if (untracked.isEmpty()) {
      byMachine.remove(snapshot.machine);
    } else {
      byMachine.put(snapshot.machine, new MachineTasks(untracked, freeResources(snapshot)));
    }
  }

  /** Removes a machine that left the assignment map, and whose tasks are gone. */
  void machineRemoved(String machine) {
    byMachine.remove(machine);
  }

  private static boolean sameAttempt(TaskSnapshot a, TaskSnapshot b) {
    return AttemptId.of(a).equals(AttemptId.of(b));
  }

  /** Returns whether a task that has not exited may be of an owned team and is not tracked. */
  private boolean countsAsUntracked(TaskSnapshot task) {
    if (task.state == TaskState.EXITED || isTracked(task)) {
      return false;
    }
    String team = teamOf(task);
    return team.equals(UNKNOWN_TEAM) || owned.owns(team);
  }

  private boolean isTracked(TaskSnapshot task) {
    Job job = owned.job(task.job);
    TaskPlacement placement = job == null ? null : job.placementOf(task.task);
    return placement != null && placement.attempt == task.attempt;
  }

  /** Returns the team of the task's job, or {@link #UNKNOWN_TEAM}. */
  private String teamOf(TaskSnapshot task) {
    if (!task.team.isEmpty()) {
      return task.team;
    }
    String cachedTeam = jobReader.teamOf(task.job);
    return cachedTeam == null ? UNKNOWN_TEAM : cachedTeam;
  }

  private Resources freeResources(MachineSnapshot snapshot) {
    Resources freeResources = Resources.ofMachine(instanceTypeByName.apply(snapshot.instanceType));
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state != TaskState.EXITED && isSizeKnown(task)) {
        freeResources = freeResources.minus(new Resources(task.cpus, task.gpus));
      }
    }
    return freeResources;
  }

  private static boolean isSizeKnown(TaskSnapshot task) {
    return !task.team.isEmpty();
  }

  /** Adds the resources that these tasks use or may use to their teams. */
  void addUseTo(Map<String, Team> teams) {
    Iterator<MachineTasks> iterator = byMachine.values().iterator();
    while (iterator.hasNext()) {
      MachineTasks machine = iterator.next();
      machine.tasks.removeIf(task -> !countsAsUntracked(task));
      if (machine.tasks.isEmpty()) {
        iterator.remove();
      } else {
        addUseTo(teams, machine);
      }
    }
  }

  private void addUseTo(Map<String, Team> teams, MachineTasks machine) {
    Set<String> teamsWithUnknownSizes = new HashSet<>();
    for (TaskSnapshot task : machine.tasks) {
      String team = teamOf(task);
      if (isSizeKnown(task)) {
        teams.get(team).addUntracked(new Resources(task.cpus, task.gpus));
      } else if (!team.equals(UNKNOWN_TEAM)) {
        teamsWithUnknownSizes.add(team);
      } else {
        teamsWithUnknownSizes.addAll(teams.keySet());
      }
    }
    teamsWithUnknownSizes.forEach(team -> teams.get(team).addUntracked(machine.freeResources));
  }
}
