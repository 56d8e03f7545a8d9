package org.sandford.machine;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.Cluster;
import org.sandford.constants.PlacementConstants;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.StartTask;
import org.sandford.runtime.EventLoop;

/**
 * Decides whether a start may be accepted on a machine of this shard. Checks it against the
 * machine's current state, since the team's owner planned with a snapshot that may be outdated.
 * Runs on the event loop.
 */
final class StartAdmission {
  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineRegistry machines;
  private final TeamGenerations teams;
  private final Function<String, InstanceType> instanceTypes;
  private final Predicate<String> isTerminal;

  /**
   * @param instanceTypes returns the instance type of a name, or null if it is not known yet
   * @param isTerminal returns whether the job of an id is known to have ended
   */
  StartAdmission(
      EventLoop loop,
      Cluster cluster,
      MachineRegistry machines,
      TeamGenerations teams,
      Function<String, InstanceType> instanceTypes,
      Predicate<String> isTerminal) {
    this.loop = loop;
    this.cluster = cluster;
    this.machines = machines;
    this.teams = teams;
    this.instanceTypes = instanceTypes;
    this.isTerminal = isTerminal;
  }

  /** Returns the first reason to refuse the start, or empty if it may be accepted. */
  Optional<StartRefusal> check(StartTask request) {
    if (!cluster.sessionLeaseValid()) {
      return Optional.of(StartRefusal.NO_SESSION_LEASE);
    }
    if (!teams.accept(request.team, request.generation)) {
      return Optional.of(StartRefusal.STALE_TEAM_GENERATION);
    }
    Machine machine = machines.get(request.machine);
    if (machine == null || machine.assignment().generation() != request.machineGeneration) {
      return Optional.of(StartRefusal.MACHINE_NOT_OWNED);
    }
    if (!machine.isSchedulable()) {
      return Optional.of(StartRefusal.MACHINE_NOT_SCHEDULABLE);
    }
    if (isTerminal.test(request.job)) {
      return Optional.of(StartRefusal.JOB_ENDED);
    }
    if (machine.tasks().isOnMachine(new TaskId(request.job, request.task))) {
      return Optional.of(StartRefusal.TASK_ON_MACHINE);
    }
    return checkResources(request, machine);
  }

  private Optional<StartRefusal> checkResources(StartTask request, Machine machine) {
    InstanceType instanceType = instanceTypes.apply(machine.assignment().instanceType());
    if (instanceType == null || !machine.tasks().allJobsConfirmedOpen()) {
      return Optional.of(StartRefusal.RESOURCES_UNKNOWN);
    }
    double freeCpus = instanceType.cpus();
    double freeGpus = instanceType.gpus();
    double freeRam = instanceType.ramGb();
    for (TaskEntry entry : machine.tasks().all()) {
      if (entry.isOnMachine()) {
        freeCpus -= entry.cpus();
        freeGpus -= entry.gpus();
        freeRam -= entry.ram();
      }
    }
    ReservedResources reserved = machine.reservedByPrecedingJobs(request, loop.nanos());
    boolean fits =
        request.cpus <= freeCpus - reserved.cpus() + PlacementConstants.RESOURCE_EPSILON
            && request.gpus <= freeGpus - reserved.gpus() + PlacementConstants.RESOURCE_EPSILON
            && request.ram <= freeRam - reserved.ram() + PlacementConstants.RESOURCE_EPSILON;
    return fits ? Optional.empty() : Optional.of(StartRefusal.INSUFFICIENT_RESOURCES);
  }
}
