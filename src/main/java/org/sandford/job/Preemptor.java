package org.sandford.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.constants.GangConstants;
import org.sandford.constants.JobConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.model.JobSpec;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.Victim;
import org.sandford.placement.CandidateMachine;
import org.sandford.placement.Planner;
import org.sandford.placement.Preemption;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;

/**
 * Frees resources for jobs that could not be placed. Asks the machines' owners to stop tasks of
 * other jobs, where the rules allow it, and to reserve free resources for a job until it has
 * enough. Freed resources appear in later snapshots and are planned then. Runs on the event loop.
 */
final class Preemptor {
  private final EventLoop loop;
  private final Settings settings;
  private final MachineSnapshots machineSnapshots;
  private final PeerLinks links;
  private final Planner planner;

  /** The time of each recently requested preemption by attempt, in milliseconds. */
  private final Map<AttemptId, Long> preemptionRequestedAtMs = new HashMap<>();

  /** The tasks on all machines; null until a job of the round needs them. */
  private PreemptibleTasks preemptibleTasks;

  private boolean scanAllowed;
  private int searchCount;
  private long roundStartedAtMs;
  private long nextScanAtMs;
  private long nextReservationAtMs;

  Preemptor(
      EventLoop loop,
      Settings settings,
      MachineSnapshots machineSnapshots,
      PeerLinks links,
      Planner planner) {
    this.loop = loop;
    this.settings = settings;
    this.machineSnapshots = machineSnapshots;
    this.links = links;
    this.planner = planner;
  }

  /**
   * Begins a planning round. All machines are scanned at most once per round, and only if a job
   * needs the scan.
   */
  void beginRound() {
    roundStartedAtMs = loop.millis();
    scanAllowed = roundStartedAtMs >= nextScanAtMs;
    searchCount = 0;
    preemptibleTasks = null;
  }

  /**
   * Preempts tasks of other jobs if that completes the job's plan, or, unless all tasks must start
   * together, a part of it.
   */
  void preempt(
      Team team, Job job, int taskCount, List<CandidateMachine> usableMachines, boolean allOrNone) {
    if (!scanAllowed
        || !job.mayPreempt(loop.millis())
        || searchCount >= JobConstants.MAX_PREEMPTION_SEARCHES) {
      return;
    }
    List<Preemption.Victim> victims =
        preemptibleTasks().victimsFor(team, job, preemptionRequestedAtMs::containsKey);
    if (victims.isEmpty()) {
      return;
    }
    searchCount++;
    job.recordPreemptionRequest(loop.millis());
    List<Preemption.Eviction> evictions =
        Preemption.chooseEvictions(
            job.resourceRequest(), taskCount, usableMachines, victims, allOrNone);
    if (evictions != null) {
      requestEvictions(team, job, evictions);
    }
  }

  private PreemptibleTasks preemptibleTasks() {
    if (preemptibleTasks == null) {
      nextScanAtMs = roundStartedAtMs + JobConstants.PREEMPTION_SCAN_MS;
      preemptionRequestedAtMs
          .values()
          .removeIf(at -> loop.millis() - at > JobConstants.RESERVATION_TTL_MS);
      preemptibleTasks = new PreemptibleTasks(machineSnapshots, settings.facts(), loop.nanos());
    }
    return preemptibleTasks;
  }

  private void requestEvictions(Team team, Job job, List<Preemption.Eviction> evictions) {
    Map<String, List<Preemption.Victim>> victimsByMachine =
        preemptibleTasks.victimsByMachine(evictions);
    for (Preemption.Eviction eviction : evictions) {
      CandidateMachine candidate = eviction.candidate();
      deductResources(candidate, job, eviction.tasks());
      List<Preemption.Victim> victimsOnMachine = victimsByMachine.remove(candidate.machine);
      sendPreemptRequest(
          team,
          job,
          candidate.ownerLabel,
          candidate.machine,
          eviction.tasks(),
          victimsOnMachine == null ? List.of() : victimsOnMachine);
    }
    // The remaining victims belong to gangs that lose a task on another machine. The whole gang is
    // stopped, since it can save a checkpoint only as a whole.
    victimsByMachine.forEach(
        (machine, victimsOnMachine) -> {
          MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(machine);
          if (received != null) {
            sendPreemptRequest(team, job, received.owner(), machine, 0, victimsOnMachine);
          }
        });
  }

  private static void deductResources(CandidateMachine candidate, Job job, int taskCount) {
    JobSpec spec = job.spec;
    candidate.allocate(taskCount * spec.cpus(), taskCount * spec.gpus(), taskCount * spec.ramGb());
  }

  /**
   * Reserves free resources for a job that has long waited for enough of them at once. Otherwise
   * small jobs would take all that becomes free, and a large one would never start. Reserves for
   * one job at a time, the first of the queue, whose order is the same on all controllers.
   */
  void reserveFreeResources(
      Team team, Job job, int taskCount, List<CandidateMachine> usableMachines) {
    if (roundStartedAtMs < nextReservationAtMs) {
      return;
    }
    nextReservationAtMs = roundStartedAtMs + JobConstants.RESERVE_INTERVAL_MS;
    Planner.Plan plan = planner.place(job.resourceRequest(), taskCount, usableMachines, false);
    if (plan != null) {
      plan.allocations().forEach(allocation -> requestReservation(team, job, allocation));
    }
  }

  /**
   * Reserves the resources of the gang's plan at the machines' owners. The gang starts once all
   * controllers have seen the reservations.
   */
  void reserve(Team team, Job gang, Planner.Plan plan) {
    releaseReservation(team, gang);
    long nowMs = loop.millis();
    gang.reservation.begin(nowMs);
    gang.retry.delayUntil(nowMs + GangConstants.GANG_START_DELAY_MS);
    for (Planner.Allocation allocation : plan.allocations()) {
      gang.reservation.add(allocation.candidate().machine, allocation.candidate().ownerLabel);
      requestReservation(team, gang, allocation);
    }
  }

  private void requestReservation(Team team, Job job, Planner.Allocation allocation) {
    sendPreemptRequest(
        team,
        job,
        allocation.candidate().ownerLabel,
        allocation.candidate().machine,
        allocation.tasks(),
        List.of());
  }

  /** Returns whether the gang's reservation stays valid for long enough to start the gang. */
  boolean hasReservation(Job gang) {
    return gang.reservation.isValid(loop.millis());
  }

  /** Releases the gang's reservations on machines that the plan does not use. */
  void releaseUnused(Team team, Job gang, Planner.Plan plan) {
    plan.allocations()
        .forEach(allocation -> gang.reservation.markUsed(allocation.candidate().machine));
    releaseReservation(team, gang);
  }

  /** Releases all reservations of the gang immediately. */
  void releaseReservation(Team team, Job gang) {
    gang.reservation.releaseAll(
        (machine, owner) -> sendPreemptRequest(team, gang, owner, machine, 0, List.of()));
  }

  /**
   * Asks the machine's owner to preempt the victims and to reserve resources for {@code taskCount}
   * tasks of the job. A count of 0 releases the job's reservation.
   */
  private void sendPreemptRequest(
      Team team,
      Job job,
      String owner,
      String machine,
      int taskCount,
      List<Preemption.Victim> victims) {
    JobSpec spec = job.spec;
    victims.forEach(
        victim -> preemptionRequestedAtMs.put(PreemptibleTasks.attemptIdOf(victim), loop.millis()));
    links.request(
        owner,
        new Preempt(
            team.name,
            machine,
            spec.id(),
            spec.rank().number(),
            job.acceptedAt,
            taskCount * spec.cpus(),
            taskCount * spec.gpus(),
            taskCount * spec.ramGb(),
            victims.stream().map(v -> new Victim(v.job(), v.task(), v.attempt())).toList(),
            JobConstants.PREEMPTION_GRACE_S));
  }
}
