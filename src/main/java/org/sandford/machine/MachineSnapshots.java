package org.sandford.machine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.runtime.EventLoop;

/**
 * Holds the last published machine snapshots of all shards, including this controller's own. A
 * snapshot is only as recent as its owner's last update. Runs on the event loop.
 */
public final class MachineSnapshots {
  /**
   * A snapshot with its sender and time of receipt.
   *
   * @param owner label of the controller that published it
   * @param snapshot the published snapshot
   * @param receivedAt steady-clock time of receipt in nanoseconds
   */
  public record ReceivedSnapshot(String owner, MachineSnapshot snapshot, long receivedAt) {}

  private final EventLoop loop;
  private final Cluster cluster;
  private final Map<String, ReceivedSnapshot> received = new LinkedHashMap<>();
  private final Map<String, Boolean> ownerLeaseValid = new HashMap<>();
  private long readCount;
  private long receivedCount;

  /** Creates an empty collection of snapshots. */
  public MachineSnapshots(EventLoop loop, Cluster cluster) {
    this.loop = loop;
    this.cluster = cluster;
  }

  /**
   * Returns the number of snapshots read so far, by which tests bound the cost of heartbeats and
   * planning.
   */
  public long readCount() {
    return readCount;
  }

  /**
   * Returns the number of snapshots received so far; heartbeats without changes must not cause any.
   */
  public long receivedCount() {
    return receivedCount;
  }

  /**
   * Applies an update. Drops snapshots of an older generation than the known one, and those of
   * machines that left the assignment map: a sender that has not read the newest map still
   * publishes them, and their tasks are gone.
   *
   * @param from label of the controller that published it
   */
  public void apply(String from, SnapshotUpdate update) {
    ownerLeaseValid.put(from, update.sessionLeaseValid);
    if (update.complete) {
      received.values().removeIf(known -> known.owner.equals(from));
    }
    for (String name : update.removed) {
      received.computeIfPresent(name, (key, known) -> known.owner.equals(from) ? null : known);
    }
    for (MachineSnapshot snapshot : update.machines) {
      receivedCount++;
      if (!isOutdated(snapshot) && !hasLeftMap(snapshot)) {
        received.put(snapshot.machine, new ReceivedSnapshot(from, snapshot, loop.nanos()));
      }
    }
  }

  private boolean isOutdated(MachineSnapshot snapshot) {
    ReceivedSnapshot known = received.get(snapshot.machine);
    return known != null && known.snapshot.generation > snapshot.generation;
  }

  /**
   * Returns whether the snapshot's machine left the assignment map that is known here. Generations
   * only rise, so a machine that is not in the map and whose generation the map has passed was in
   * an earlier one; one of a later generation is in a map that is not known here yet.
   */
  private boolean hasLeftMap(MachineSnapshot snapshot) {
    return !isAssigned(snapshot.machine)
        && snapshot.generation <= cluster.machines().lastGeneration();
  }

  /**
   * Returns whether the machine is in the assignment map that is known here. Only snapshots of such
   * machines may be used; others wait for the map.
   */
  public boolean isAssigned(String machine) {
    return cluster.machines().assignments().containsKey(machine);
  }

  /** Removes machines that are in an earlier assignment map and not in the new one. */
  public void removeUnassigned() {
    received.values().removeIf(known -> hasLeftMap(known.snapshot));
  }

  /** Returns a live view of all snapshots, in the order in which their machines became known. */
  public Collection<ReceivedSnapshot> all() {
    readCount += received.size();
    return received.values();
  }

  /** Returns a copy of the snapshots of the machines in the assignment map. */
  public List<ReceivedSnapshot> assigned() {
    return all().stream().filter(known -> isAssigned(known.snapshot.machine)).toList();
  }

  /** Returns the machine's snapshot, or null if there is none. */
  public ReceivedSnapshot get(String machine) {
    readCount++;
    return received.get(machine);
  }

  /** Returns whether the snapshot is from the machine's owner in the assignment map known here. */
  public boolean isFromOwner(ReceivedSnapshot known) {
    MachineAssignment assignment = cluster.machines().assignments().get(known.snapshot.machine);
    return assignment != null
        && assignment.generation() == known.snapshot.generation
        && Cluster.isIncarnationOf(assignment.owner(), known.owner);
  }

  /**
   * Returns whether the last update of the controller with this label reported a valid session
   * lease.
   */
  public boolean isOwnerLeaseValid(String label) {
    return ownerLeaseValid.getOrDefault(label, false);
  }
}
