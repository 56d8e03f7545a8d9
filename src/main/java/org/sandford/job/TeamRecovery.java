package org.sandford.job;

import java.util.Map;
import java.util.function.Function;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.wire.MachineSnapshot;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines, after a failover, when all machines have reported what they hold of an acquired team.
 * Until then the former owner's tasks may run anywhere, and inherited jobs are not planned. Runs on
 * the event loop.
 */
final class TeamRecovery {
  private static final Logger log = LoggerFactory.getLogger(TeamRecovery.class);

  private final Cluster cluster;
  private final MachineSnapshots machineSnapshots;
  private final OwnedJobs owned;
  private final Function<String, InstanceType> instanceTypes;
  private final PlanningTimer timer;

  TeamRecovery(
      Cluster cluster,
      MachineSnapshots machineSnapshots,
      OwnedJobs owned,
      Function<String, InstanceType> instanceTypes,
      PlanningTimer timer) {
    this.cluster = cluster;
    this.machineSnapshots = machineSnapshots;
    this.owned = owned;
    this.instanceTypes = instanceTypes;
    this.timer = timer;
  }

  /**
   * Checks all machines that have not reported. The first check of a team lists all machines of the
   * assignment map. Machines that enter the map later need no report: they follow the team's
   * assignment, so only owners that acknowledged the claim ever command them.
   */
  void checkAllMachines() {
    for (Team team : owned.teams().values()) {
      if (team.phase() != Team.Phase.RECOVERING) {
        continue;
      }
      if (!team.unreported().isInitialized()) {
        team.expectReports(assignedMachines());
      }
      team.unreported().removeIf(name -> hasReported(team, name));
      markReadyIfAllReported(team);
    }
  }

  private UnreportedMachines assignedMachines() {
    Map<String, MachineAssignment> assignments = cluster.machines().assignments();
    UnreportedMachines unreported =
        new UnreportedMachines(
            name -> Resources.ofMachine(instanceTypes.apply(assignments.get(name).instanceType())));
    assignments.forEach(
        (name, assignment) -> {
          if (assignment.hasAddress()) {
            unreported.add(name);
          }
        });
    return unreported;
  }

  /** Checks only the machines that just reported, as hundreds of snapshots follow a failover. */
  void checkReporting(Iterable<MachineSnapshot> snapshots) {
    for (Team team : owned.teams().values()) {
      if (team.phase() == Team.Phase.RECOVERING && team.unreported().isInitialized()) {
        for (MachineSnapshot snapshot : snapshots) {
          if (team.unreported().contains(snapshot.machine) && hasReported(team, snapshot.machine)) {
            team.unreported().remove(snapshot.machine);
          }
        }
        markReadyIfAllReported(team);
      }
    }
  }

  /**
   * Returns whether all that the machine holds of the team, or may still be commanded to start, is
   * known; true also for a machine that left the assignment map.
   */
  private boolean hasReported(Team team, String machine) {
    if (!cluster.machines().assignments().containsKey(machine)) {
      return true;
    }
    MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(machine);
    return received != null
        && received.snapshot().reconciled
        && machineSnapshots.isFromOwner(received)
        && team.claimAcknowledgedBy.contains(received.owner());
  }

  private void markReadyIfAllReported(Team team) {
    if (team.unreported().isEmpty()) {
      team.transitionTo(Team.Phase.READY);
      log.info("team recovered team={} generation={}", team.name, team.generation);
      timer.requestRound();
    }
  }
}
