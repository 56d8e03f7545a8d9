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
 * The leader's reconciliation of the assignment map with the members and the pending changes: every
 * team and machine gets an owner that is a member, and shards are levelled. Runs on the event loop,
 * does nothing while this controller does not lead, and writes one transaction at a time.
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

  /** Reconciles after what is queued on the event loop, once for all requests until then. */
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

  /** Stands for election if need be, and as the leader writes what has to change now. */
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
   * Whether the leader gives the other controllers time to join. It does so only where a cluster
   * starts: in a failover every moment counts, and who joins later gets its shard by moves.
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
    return machines.of().values().stream()
        .anyMatch(machine -> !memberIds.contains(machine.owner()));
  }

  /**
   * Without {@code includeNonUrgent} only what tasks wait for is planned: machines without an
   * owner, and removals of machines that held tasks.
   */
  private MachineAssignmentPlanner.Plan planMachines(
      Set<String> memberIds, boolean includeNonUrgent) {
    MachineAssignmentPlanner.Changes changes =
        includeNonUrgent ? pending.machineChanges() : pending.urgentMachineChanges();
    return new MachineAssignmentPlanner(facts, map.machines(), memberIds).plan(changes);
  }

  /** A team whose owner is to hand it over, so that no member has two more than another. */
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
