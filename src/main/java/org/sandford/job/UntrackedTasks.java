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
   * @param spare the most that tasks of unknown size may use on the machine
   */
  private record OnMachine(List<TaskSnapshot> tasks, Resources spare) {}

  /** The team in a snapshot of a task whose job the machine's owner does not know. */
  private static final String UNKNOWN_TEAM = "";

  private final OwnedJobs owned;
  private final JobReader jobReader;
  private final Function<String, InstanceType> instanceTypes;
  private final Map<String, OnMachine> machines = new HashMap<>();

  UntrackedTasks(
      OwnedJobs owned, JobReader jobReader, Function<String, InstanceType> instanceTypes) {
    this.owned = owned;
    this.jobReader = jobReader;
    this.instanceTypes = instanceTypes;
  }

  /**
   * Updates the machine's untracked tasks from its snapshot. A reconciled snapshot lists all tasks
   * on the machine. With any other, known tasks that it lacks are kept, since they may still run.
   */
  void update(MachineSnapshot snapshot) {
    List<TaskSnapshot> untracked = new ArrayList<>();
    OnMachine before = machines.get(snapshot.machine);
    if (!snapshot.reconciled && before != null) {
      untracked.addAll(before.tasks);
    }
    for (TaskSnapshot task : snapshot.tasks) {
      if (countsAsUntracked(task)
          && untracked.stream().noneMatch(known -> sameAttempt(known, task))) {
        untracked.add(task);
      }
    }
    if (untracked.isEmpty()) {
      machines.remove(snapshot.machine);
    } else {
      machines.put(snapshot.machine, new OnMachine(untracked, spare(snapshot)));
    }
  }

  /** Removes a machine that left the assignment map, and whose tasks are gone. */
  void machineRemoved(String machine) {
    machines.remove(machine);
  }

  private static boolean sameAttempt(TaskSnapshot a, TaskSnapshot b) {
    return Attempt.of(a).equals(Attempt.of(b));
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
    String remembered = jobReader.teamOf(task.job);
    return remembered == null ? UNKNOWN_TEAM : remembered;
  }

  private Resources spare(MachineSnapshot snapshot) {
    Resources spare = Resources.ofMachine(instanceTypes.apply(snapshot.instanceType));
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state != TaskState.EXITED && hasSize(task)) {
        spare = spare.minus(new Resources(task.cpus, task.gpus));
      }
    }
    return spare;
  }

  private static boolean hasSize(TaskSnapshot task) {
    return !task.team.isEmpty();
  }

  /** Adds the resources that these tasks use or may use to their teams. */
  void addTo(Map<String, Team> teams) {
    Iterator<OnMachine> each = machines.values().iterator();
    while (each.hasNext()) {
      OnMachine machine = each.next();
      machine.tasks.removeIf(task -> !countsAsUntracked(task));
      if (machine.tasks.isEmpty()) {
        each.remove();
      } else {
        addTo(teams, machine);
      }
    }
  }

  private void addTo(Map<String, Team> teams, OnMachine machine) {
    Set<String> ofUnknownSize = new HashSet<>();
    for (TaskSnapshot task : machine.tasks) {
      String team = teamOf(task);
      if (hasSize(task)) {
        teams.get(team).addUntracked(new Resources(task.cpus, task.gpus));
      } else if (!team.equals(UNKNOWN_TEAM)) {
        ofUnknownSize.add(team);
      } else {
        ofUnknownSize.addAll(teams.keySet());
      }
    }
    ofUnknownSize.forEach(team -> teams.get(team).addUntracked(machine.spare));
  }
}
