package org.sandford.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sandford.audit.AuditLog;
import org.sandford.cancel.Cancellations;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.constants.ClusterConstants;
import org.sandford.peer.wire.AssignmentRevisions;
import org.sandford.peer.wire.AssignmentUpdate;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.settings.Settings;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;

/**
 * The interface of this package to the others: this controller's session, the leadership, the local
 * copy of the assignment map, and the leader's changes to the map. It wires the classes of the
 * package together and dispatches the store's changes to them. Runs on the event loop.
 */
public final class Cluster implements Cancellations.StoreView {
  /**
   * The key whose revision every record write has as a condition: it changes with the teams'
   * owners.
   */
  public static final String TEAMS_KEY = ClusterKeys.TEAMS;

  /** Notified on the event loop. */
  public interface Listener {
    /** The assignment map, the session lease, the members or the leader changed. */
    void clusterStateChanged();

    /** A job's terminal state was stored by any controller. */
    void jobEnded(String job, JsonNode record);

    /** A job was stored for its team's owner, which has to load it. */
    void jobAdded(String job, String team);

    /** Terminal states may have been missed: state derived from them must be read again. */
    void terminalStatesMissed();
  }

  /** A job's team, and the revision of the key that announces the job. */
  public record NewJob(String team, long revision) {}

  /**
   * A machine to be added to the assignment map.
   *
   * @param address host and port of its worker agent, or empty while it is not known
   * @param instanceType the name of its instance type
   */
  public record NewMachine(
      String name, String address, String instanceType, String zone, boolean spot) {
    boolean hasAddress() {
      return !address.isEmpty();
    }
  }

  private final EventLoop loop;
  private final ClusterMembers members = new ClusterMembers();
  private final AssignmentMapCache map = new AssignmentMapCache();
  private final AssignmentMapExchange exchange = new AssignmentMapExchange(map);
  private final NewJobs newJobs = new NewJobs(this::notifyNewJob);
  private final SessionMembership membership;
  private final PrefixWatch mapWatch;
  private final TerminalStateWatch terminalStateWatch;
  private final LeaderElection election;
  private final PendingChanges pending;
  private final AssignmentReconciler reconciler;
  private Listener listener;

  /** Creates an instance that has not joined; {@link #start} begins to join. */
  public Cluster(EventLoop loop, Settings settings, StoreClient store, AuditLog audit) {
    this.loop = loop;
    membership = new SessionMembership(loop, settings, store, new MembershipHandler());
    mapWatch =
        new PrefixWatch(loop, store, ClusterKeys.ROOT, ClusterKeys.ROOT, new MapWatchHandler());
    terminalStateWatch = new TerminalStateWatch(loop, store, audit, new TerminalStateHandler());
    election =
        new LeaderElection(loop, store, audit, membership, mapWatch::loaded, this::onElected);
    pending = new PendingChanges(map, members, this::reconcileSoon);
    AssignmentMapWriter writer =
        new AssignmentMapWriter(
            loop, settings.facts(), store, map, mapWatch, new MapWriteHandler());
    reconciler =
        new AssignmentReconciler(loop, settings.facts(), election, members, map, pending, writer);
  }

  /** Begins to join the cluster and to watch the store; called once. */
  public void start(Listener clusterListener) {
    listener = clusterListener;
    membership.join();
    mapWatch.start();
    terminalStateWatch.start();
    loop.every(ClusterConstants.LEADER_CHECK_MS, reconciler::reconcile);
  }

  /** Returns this controller's incarnation id, {@code label#number}, or "" before the first. */
  public String incarnationId() {
    return membership.incarnationIdOrEmpty();
  }

  /** Returns this controller's incarnation number, or 0 before the first. */
  public long incarnationNumber() {
    return membership.incarnationNumber();
  }

  /** Returns the label of the controller that has this incarnation id. */
  public static String labelOf(String incarnationId) {
    return IncarnationIds.labelOf(incarnationId);
  }

  /** Returns whether the owner is an incarnation of the controller with this label. */
  public static boolean isIncarnationOf(String ownerId, String label) {
    return IncarnationIds.isIncarnationOf(ownerId, label);
  }

  /**
   * Returns whether this controller may start work and act as an owner; holds until the current
   * callback of the event loop returns.
   */
  public boolean sessionLeaseValid() {
    return membership.isLeaseValid();
  }

  /** Returns whether this controller is the leader and its session lease is valid. */
  public boolean isLeader() {
    return election.isLeader();
  }

  /** Returns the leader's label, or "" if there is no leader. */
  public String leaderLabel() {
    return election.leaderLabel();
  }

  /** Returns the teams of the local copy of the assignment map. */
  public Teams teams() {
    return map.teams();
  }

  /** Returns the machines of the local copy of the assignment map. */
  public Machines machines() {
    return map.machines();
  }

  /** Returns whether the assignment map was read from the store since the start. */
  public boolean assignmentMapLoaded() {
    return mapWatch.loaded();
  }

  @Override
  public MonotonicTime freshAt() {
    return MonotonicTime.earlier(terminalStateWatch.freshAt(), mapWatch.freshAt());
  }

  @Override
  public MonotonicTime terminalStatesCompleteSince() {
    return terminalStateWatch.completeSince();
  }

  @Override
  public long machinesRevision() {
    return map.machines().revision();
  }

  /**
   * Returns a view, by id, of the jobs that were stored for their team's owner and not yet loaded
   * by it.
   */
  public Map<String, NewJob> newJobs() {
    return newJobs.jobs();
  }

  /** Returns the key that announces a stored job to its team's owner. */
  public static String newJobKey(String job) {
    return ClusterKeys.NEW_JOBS + job;
  }

  /** Returns a sorted copy of the members' incarnation ids. */
  public Set<String> memberIds() {
    return members.sortedIds();
  }

  /**
   * Returns the revisions of the assignment map to advertise to the peers. Called once a heartbeat.
   */
  public AssignmentRevisions assignmentRevisions() {
    return exchange.advertise();
  }

  /**
   * Returns the part of the assignment map that a peer with these revisions lacks, or null if none.
   */
  public AssignmentUpdate updateFor(AssignmentRevisions peerRevisions) {
    return exchange.updateFor(peerRevisions).orElse(null);
  }

  /**
   * Applies what is newer in a peer's update. So a controller that is cut off from the store gives
   * up what another controller owns by now.
   */
  public void applyUpdate(AssignmentUpdate update) {
    if (exchange.apply(update)) {
      listener.clusterStateChanged();
    }
  }

  /** Returns a unique id for a provision request. */
  public String newProvisionRequestId() {
    return membership.newRequestId();
  }

  /** Adds a machine, or the address of a known one. Called on the leader. */
  public void addMachine(NewMachine machine) {
    pending.addMachine(machine);
  }

  /**
   * Removes a machine whose decommission was confirmed, or that stopped on its own. Tasks that were
   * on it start elsewhere only after the map no longer holds it, so with {@code heldTasks} it is
   * removed at once.
   */
  public void removeMachine(String name, boolean heldTasks) {
    pending.removeMachine(name, heldTasks);
  }

  /** Returns the machines that are provisioned and not yet in the assignment map. */
  public Collection<NewMachine> machinesNotInMap() {
    return pending.additionsNotInMap();
  }

  /**
   * Returns whether an address of the machine is known that the assignment map does not hold yet.
   */
  public boolean hasPendingAddress(String machine) {
    return pending.hasPendingAddress(machine);
  }

  /** Moves a machine to the shard of another member. */
  public void moveMachine(String name, String newOwner) {
    pending.moveMachine(name, newOwner);
  }

  /** Records that the team's owner of this generation no longer acts for it. */
  public void teamHandedOver(String team, long generation) {
    pending.markHandedOver(team, generation);
  }

  /**
   * Returns the teams whose owner is to hand them over, with that owner; empty unless this
   * controller leads.
   */
  public Map<String, TeamAssignment> teamsToHandOver() {
    Map<String, TeamAssignment> handovers = new TreeMap<>();
    reconciler
        .teamToHandOver()
        .ifPresent(team -> handovers.put(team, map.teams().assignments().get(team)));
    return handovers;
  }

  private void reconcileSoon() {
    reconciler.reconcileSoon();
  }

  private void notifyNewJob(String jobId, String team) {
    listener.jobAdded(jobId, team);
  }

  private void onElected() {
    listener.clusterStateChanged();
    reconciler.reconcile();
  }

  private void apply(List<? extends KeyChange> changes) {
    changes.forEach(this::apply);
    map.applyMachines(changes);
  }

  private void apply(KeyChange change) {
    String key = change.key();
    if (key.startsWith(ClusterKeys.MEMBERS)) {
      applyMember(key.substring(ClusterKeys.MEMBERS.length()), change);
    } else if (key.equals(ClusterKeys.LEADER)) {
      election.apply(change);
    } else if (key.startsWith(ClusterKeys.NEW_JOBS)) {
      newJobs.apply(key.substring(ClusterKeys.NEW_JOBS.length()), change);
    } else if (key.equals(ClusterKeys.TEAMS)) {
      map.applyTeams(change);
    }
  }

  private void applyMember(String label, KeyChange change) {
    if (label.equals(membership.label())) {
      membership.memberKeyChanged(change);
    }
    members.apply(label, change);
  }

  private final class MembershipHandler implements SessionMembership.Listener {
    @Override
    public void joined(String incarnationId) {
      members.joined(membership.label(), incarnationId);
      listener.clusterStateChanged();
      election.campaign();
    }

    @Override
    public void leaseChanged() {
      listener.clusterStateChanged();
    }
  }

  private final class MapWatchHandler implements PrefixWatch.Handler {
    @Override
    public void listed(List<Entry> entries) {
      members.removeAll();
      newJobs.removeAll();
      election.forgetLeader();
      apply(entries);
    }

    @Override
    public void caughtUp() {
      listener.clusterStateChanged();
      election.campaign();
    }

    @Override
    public void changed(List<KeyChange> changes) {
      apply(changes);
      listener.clusterStateChanged();
      election.campaign();
      reconciler.reconcile();
    }
  }

  private final class TerminalStateHandler implements TerminalStateWatch.Listener {
    @Override
    public void jobEnded(String jobId, JsonNode record) {
      listener.jobEnded(jobId, record);
    }

    @Override
    public void terminalStatesMissed() {
      listener.terminalStatesMissed();
    }
  }

  private final class MapWriteHandler implements AssignmentMapWriter.Listener {
    @Override
    public void written() {
      pending.dropCompleted();
      listener.clusterStateChanged();
      reconciler.reconcile();
    }

    @Override
    public void readBack(List<Entry> entries) {
      apply(entries);
      pending.dropCompleted();
      listener.clusterStateChanged();
    }
  }
}
