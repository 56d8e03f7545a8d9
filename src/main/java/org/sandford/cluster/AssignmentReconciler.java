package org.sandford.cluster;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.constants.ClusterConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;

/**
 * Reconciles the assignment map with the members and the pending changes: assigns every team and
 * machine to a member and balances the shards. Does nothing unless this controller leads, and
 * writes one transaction at a time. Runs on the event loop.
 */
final class AssignmentReconciler {
  private final EventLoop loop;
  private final Settings.Facts facts;
  private final LeaderElection election;
  private final ClusterMembers members;
  private final AssignmentMapCache map;
  private final PendingChanges pending;
  private final AssignmentMapWriter writer;
  private final ShardBalancer balancer;

  private boolean reconcileScheduled;

  AssignmentReconciler(
      EventLoop loop,
      Settings.Facts facts,
      LeaderElection election,
      ClusterMembers members,
      AssignmentMapCache map,
      PendingChanges pending,
      AssignmentMapWriter writer) {
    this.loop = loop;
    this.facts = facts;
    this.election = election;
    this.members = members;
    this.map = map;
    this.pending = pending;
    this.writer = writer;
    this.balancer = new ShardBalancer(loop);
  }

  /**
   * Schedules one reconciliation behind the tasks already queued on the event loop; further
   * requests until then are merged into it.
   */
  void reconcileSoon() {
    if (reconcileScheduled) {
      return;
    }
    reconcileScheduled = true;
    loop.execute(
        () -> {
          reconcileScheduled = false;
          reconcile();
        });
  }

  /** Campaigns if there is no leader and, as the leader, writes the changes that are due. */
  void reconcile() {
    election.campaign();
    if (!election.isLeader() || writer.isWriting() || !members.contains(election.leaderId())) {
      return;
    }
    if (shouldWaitForControllers()) {
      return;
    }
    pending.moveMachines(balancer.planMoves(members.ids(), map.machines()));
    Teams nextTeams = teamPlanner().plan(facts.teams().keySet());
    Set<String> memberIds = members.sortedIds();
    boolean hasOwnerless = hasOwnerlessMachines(map.machines(), memberIds);
    boolean urgent = !nextTeams.equals(map.teams()) || pending.hasUrgentRemovals() || hasOwnerless;
    boolean nonUrgentAllowed = writer.mayWriteNonUrgentChanges();
    if (!urgent && !nonUrgentAllowed) {
      return;
    }
    MachineAssignmentPlanner.Plan machines =
        hasOwnerless || pending.hasMachineChanges()
            ? planMachines(memberIds, nonUrgentAllowed)
            : new MachineAssignmentPlanner.Plan(map.machines().lastGeneration(), Map.of());
    writer.write(election.leaderRevision(), nextTeams, machines);
  }

  /**
   * Returns whether the leader still waits for other controllers to join. It waits only while the
   * cluster starts: a failover must not be delayed, and a controller that joins later gets its
   * shard by moves.
   */
  private boolean shouldWaitForControllers() {
    boolean firstAssignment = map.teams().revision() == 0;
    boolean clusterStarting = firstAssignment || members.size() == 1;
    boolean allJoined = members.size() >= facts.controllers();
    int delayMs =
        firstAssignment
            ? ClusterConstants.LEADER_ASSIGNMENT_DELAY_MS
            : ClusterConstants.LEADER_ALONE_DELAY_MS;
    return clusterStarting
        && !allJoined
        && election.nanosSinceLeaderChange() < delayMs * 1_000_000L;
  }

  private static boolean hasOwnerlessMachines(Machines machines, Set<String> memberIds) {
    return machines.assignments().values().stream()
        .anyMatch(machine -> !memberIds.contains(machine.owner()));
  }

  /**
   * Plans the machine changes. Without {@code includeNonUrgent}, it plans only those that tasks
   * wait for: owners for machines without one, and removals of machines that held tasks.
   */
  private MachineAssignmentPlanner.Plan planMachines(
      Set<String> memberIds, boolean includeNonUrgent) {
    MachineAssignmentPlanner.Changes changes =
        includeNonUrgent ? pending.machineChanges() : pending.urgentMachineChanges();
    return new MachineAssignmentPlanner(facts, map.machines(), memberIds).plan(changes);
  }

  /**
   * Returns a team whose owner is to hand it over, so that no member has two teams more than
   * another.
   */
  Optional<String> teamToHandOver() {
    if (!election.isLeader() || writer.isWriting() || members.size() < 2) {
      return Optional.empty();
    }
    return teamPlanner().teamToHandOver();
  }

  private TeamAssignmentPlanner teamPlanner() {
    return new TeamAssignmentPlanner(map.teams(), members.ids(), pending::isHandedOver);
  }
}
