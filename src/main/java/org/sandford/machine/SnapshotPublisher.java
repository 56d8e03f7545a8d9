package org.sandford.machine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sandford.cluster.Cluster;
import org.sandford.constants.MachineConstants;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.runtime.EventLoop;

/**
 * Publishes snapshots of this shard's machines to all controllers: changed ones in short batches,
 * and all of them in a slower refresh cycle. Runs on the event loop.
 */
final class SnapshotPublisher {
  private final EventLoop loop;
  private final Cluster cluster;
  private final PeerLinks links;
  private final MachineRegistry machines;
  private final Set<String> changed = new LinkedHashSet<>();
  private final Set<String> removed = new LinkedHashSet<>();

  /** The machines left in the current refresh cycle. */
  private Iterator<String> refreshCursor = List.<String>of().iterator();

  private boolean publishScheduled;

  SnapshotPublisher(EventLoop loop, Cluster cluster, PeerLinks links, MachineRegistry machines) {
    this.loop = loop;
    this.cluster = cluster;
    this.links = links;
    this.machines = machines;
  }

  /** Starts the periodic refresh; called once. */
  void start() {
    loop.every(MachineConstants.SNAPSHOT_REFRESH_MS, this::refresh);
  }

  /**
   * Publishes the next machines of the refresh cycle again. A receiver drops a snapshot that is
   * newer than its assignment map, and without a refresh it would lack that snapshot until the
   * machine changes.
   */
  private void refresh() {
    int count =
        (int)
            Math.ceil(
                machines.size()
                    * (double) MachineConstants.SNAPSHOT_REFRESH_MS
                    / MachineConstants.SNAPSHOT_REFRESH_CYCLE_MS);
    for (int i = 0; i < count; i++) {
      if (!refreshCursor.hasNext()) {
        refreshCursor = machines.names().iterator();
      }
      if (!refreshCursor.hasNext()) {
        return;
      }
      Machine machine = machines.get(refreshCursor.next());
      if (machine != null) {
        markChanged(machine);
      }
    }
  }

  /** Adds the machine's snapshot to the next update. */
  void markChanged(Machine machine) {
    changed.add(machine.name());
    schedule();
  }

  /** Adds the machine to the removed ones of the next update. */
  void markRemoved(String machine) {
    changed.remove(machine);
    removed.add(machine);
  }

  /** Adds the snapshot of a new machine to the next update, which no longer lists it as removed. */
  void markAdded(Machine machine) {
    removed.remove(machine.name());
    markChanged(machine);
  }

  /** Schedules an update if machines were removed. */
  void scheduleRemovals() {
    if (!removed.isEmpty()) {
      schedule();
    }
  }

  private void schedule() {
    if (!publishScheduled) {
      publishScheduled = true;
      loop.after(MachineConstants.SNAPSHOT_PUBLISH_MS, this::publish);
    }
  }

  /** Publishes all changes now. Called before replies that must not arrive ahead of a snapshot. */
  void publish() {
    publishScheduled = false;
    if (changed.isEmpty() && removed.isEmpty()) {
      return;
    }
    long now = loop.nanos();
    List<MachineSnapshot> snapshots = new ArrayList<>();
    for (String name : changed) {
      Machine machine = machines.get(name);
      if (machine != null) {
        snapshots.add(machine.snapshot(now));
      }
    }
    SnapshotUpdate update =
        new SnapshotUpdate(false, snapshots, new ArrayList<>(removed), cluster.sessionLeaseValid());
    changed.clear();
    removed.clear();
    links.publish(update);
  }

  /** Returns the snapshots of all machines, for a controller whose link has come up. */
  SnapshotUpdate completeUpdate() {
    long now = loop.nanos();
    List<MachineSnapshot> snapshots = new ArrayList<>();
    for (Machine machine : machines.all()) {
      snapshots.add(machine.snapshot(now));
    }
    return new SnapshotUpdate(true, snapshots, List.of(), cluster.sessionLeaseValid());
  }
}
