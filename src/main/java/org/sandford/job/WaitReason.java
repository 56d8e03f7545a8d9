package org.sandford.job;

import java.util.Locale;

/**
 * The reason why a job's tasks wait. It is recorded in every planning round and formatted only when
 * it is shown, to users among others.
 */
sealed interface WaitReason {
  WaitReason NONE = new None();

  /** Returns the text that users are shown. */
  String text();

  /** No known obstacle. */
  record None() implements WaitReason {
    @Override
    public String text() {
      return "";
    }
  }

  /** The team uses all that its limit allows. */
  record TeamLimitReached(String team, double cpus, double limit, int tasks) implements WaitReason {
    @Override
    public String text() {
      return String.format(
          Locale.ROOT,
          "team %s has no room for a task of %.1f CPUs within its limit of %.1f, and %d wait",
          team,
          cpus,
          limit,
          tasks);
    }
  }

  /** No machines have free resources for all tasks of the gang at once. */
  record InsufficientResourcesForGang(int tasks, double cpus, double ram, boolean inOneZone)
      implements WaitReason {
    @Override
    public String text() {
      return String.format(
          Locale.ROOT,
          "waits for %d places of %.1f CPUs and %.1f GB at once%s",
          tasks,
          cpus,
          ram,
          inOneZone ? " in one zone" : "");
    }
  }

  /** All tasks of the gang are placed, but some do not run yet. */
  record GangStarting(int missing, int tasks) implements WaitReason {
    @Override
    public String text() {
      return String.format(Locale.ROOT, "waits for %d of %d tasks", missing, tasks);
    }
  }

  /** A task failed and is retried. */
  record TaskFailed(int task, String machine, String zone) implements WaitReason {
    @Override
    public String text() {
      return "task " + task + " failed on machine " + machine + " in zone " + zone;
    }
  }

  /** No machines have free resources for this number of tasks at once. */
  record InsufficientResources(int tasks, double cpus, double ram) implements WaitReason {
    @Override
    public String text() {
      return String.format(
          Locale.ROOT,
          "no machines have room for %d tasks of %.1f CPUs and %.1f GB at once",
          tasks,
          cpus,
          ram);
    }
  }
}
