package org.sandford.scenario;

import java.util.HashMap;
import java.util.Map;

/** The users' rules, checked against what really happens in the simulated world. */
final class Rules {
  private final World world;
  private final Scenario scenario;
  int started;

  Rules(World world, Scenario scenario) {
    this.world = world;
    this.scenario = scenario;
    watch();
  }

  /** Checked when a task starts on a machine. */
  void starts(WorkerStandIn on, WorkerStandIn.Held task) {
    started++;
    if (task.job.beganAt < 0) {
      task.job.beganAt = world.now();
    }
    double cpus = task.job.cpus;
    int inZone = 1;
    for (CloudStandIn.Rented machine : scenario.cloud.machines.values()) {
      if (machine.worker == null) {
        continue;
      }
      for (WorkerStandIn.Held other : machine.worker.held.values()) {
        if (!other.on() || other == task) {
          continue;
        }
        if (other.piece.equals(task.piece)) {
          world.broke("ran_twice", task.piece + " starts on " + on.machine.name + " while on " + machine.name);
        }
        if (other.job.team.equals(task.job.team)) {
          cpus += other.job.cpus;
        }
        if (other.job == task.job && machine.zone.equals(on.machine.zone)) {
          inZone++;
        }
        if (other.job == task.job && task.job.together && !machine.zone.equals(on.machine.zone)) {
          world.broke("wrong_place", task.piece + " is not together with " + other.piece);
        }
      }
    }
    if (cpus > scenario.teamMax.get(task.job.team) + 1e-9) {
      world.broke("quota", "team " + task.job.team + " uses " + cpus + " CPUs");
    }
    if (task.job.scatter && inZone > (task.job.tasks + 1) / 2) {
      world.broke("wrong_place", task.piece + " is one of " + inZone + " in zone " + on.machine.zone);
    }
    if (on.machine.spot && !task.job.spot) {
      world.broke("wrong_place", task.piece + " starts on a spot machine");
    }
    if (!task.job.zone.isEmpty() && !task.job.zone.equals(on.machine.zone)) {
      world.broke("wrong_place", task.piece + " starts in zone " + on.machine.zone);
    }
    cancelled(task, "starts");
  }

  private void cancelled(WorkerStandIn.Held task, String what) {
    Scenario.Submitted job = task.job;
    if (job.abortedAt > 0 && world.now() - job.abortedAt > scenario.cancelS * 1e9) {
      world.broke("ran_cancelled", task.piece + " " + what + " " + (world.now() - job.abortedAt) / 1e9 + " s after its cancellation");
    }
  }

  private void watch() {
    for (CloudStandIn.Rented machine : scenario.cloud.machines.values()) {
      if (machine.worker != null) {
        machine.worker.held.values().stream().filter(WorkerStandIn.Held::on).forEach(t -> cancelled(t, "is on its machine"));
      }
    }
    world.after(250, this::watch);
  }

  private final Map<String, String> told = new HashMap<>();

  /** Checked on every answer to a user. */
  void answered(String id, Scenario.Submitted job, int status, String state) {
    if (status == 200 || status == 201) {
      if (job == null) {
        world.broke("invented", id + " is called " + state);
        return;
      }
      String before = told.get(id);
      boolean ended = "done".equals(before) || "aborted".equals(before);
      if (ended && !before.equals(state)) {
        world.broke("went_back", id + " was " + before + " and is called " + state);
      }
      if (state.equals("aborted") && !job.abortAsked) {
        world.broke("went_back", id + " is called aborted, which nobody asked for");
      }
      if (state.equals("done") && job.finished.size() < job.tasks) {
        world.broke("not_done", id + " is called done after " + job.finished.size() + " of " + job.tasks);
      }
      told.put(id, state);
    } else if (job != null && told.containsKey(id) && (status == 404 || status == 400 || status == 422)) {
      world.broke("forgotten", id + " was accepted and gets " + status);
    }
  }

  boolean toldAny(String id) {
    return told.containsKey(id);
  }

  String told(String id) {
    return told.getOrDefault(id, "nothing");
  }
}
