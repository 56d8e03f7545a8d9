package org.sandford.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.constants.ClusterConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.sandford.store.ListResult;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.Priority;

/**
 * Writes the assignment map by compare-and-swap: each transaction has the revisions of the leader's
 * key and of every key that it changes as conditions. One transaction runs at a time. After any
 * outcome but success, one listing refreshes the map before the next write; if it fails too, the
 * conditions reject writes that are based on an old map. Runs on the event loop.
 */
final class AssignmentMapWriter {
  /** Notified on the event loop when the next write may begin. */
  interface Listener {
    /** A write was applied, and {@link AssignmentMapCache} contains it. */
    void written();

    /**
     * A write did not succeed or its outcome is unknown; the entries are what the store holds now.
     */
    void readBack(List<Entry> entries);
  }

  private final EventLoop loop;
  private final Settings.Facts facts;
  private final StoreClient store;
  private final AssignmentMapCache map;
  private final PrefixWatch watch;
  private final Listener listener;

  private boolean writing;
  private long nextNonUrgentWriteAtMs;

  AssignmentMapWriter(
      EventLoop loop,
      Settings.Facts facts,
      StoreClient store,
      AssignmentMapCache map,
      PrefixWatch watch,
      Listener listener) {
    this.loop = loop;
    this.facts = facts;
    this.store = store;
    this.map = map;
    this.watch = watch;
    this.listener = listener;
  }

  /** Returns whether a write is in progress or the map is being read back. */
  boolean isWriting() {
    return writing;
  }

  /**
   * Returns whether non-urgent changes may be written now. Records have priority over them, but
   * delay them by at most {@link ClusterConstants#MAP_WRITE_MAX_DELAY_MS}.
   */
  boolean mayWriteNonUrgentChanges() {
    long overdueMs = loop.millis() - nextNonUrgentWriteAtMs;
    return overdueMs >= 0
        && (store.hasSpareWriteRate() || overdueMs >= ClusterConstants.MAP_WRITE_MAX_DELAY_MS);
  }

  /** Writes the teams and partitions that differ from the map, if any. */
  void write(long leaderRevision, Teams nextTeams, MachineAssignmentPlanner.Plan machines) {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(ClusterKeys.LEADER, leaderRevision);
    List<Op> ops = new ArrayList<>();
    addTeams(nextTeams, conditions, ops);
    addMachines(machines, conditions, ops);
    if (ops.isEmpty()) {
      return;
    }
    writing = true;
    delayNextNonUrgentWrite(ops.size());
    store.transact(
        conditions,
        ops,
        Priority.ASSIGNMENT_MAP,
        result -> {
          writing = false;
          if (result.outcome() == Outcome.APPLIED) {
            applyWritten(result.revision(), nextTeams, machines);
            listener.written();
          } else {
            readBack();
          }
        });
  }

  private void addTeams(Teams nextTeams, Map<String, Long> conditions, List<Op> ops) {
    if (nextTeams.equals(map.teams())) {
      return;
    }
    conditions.put(ClusterKeys.TEAMS, map.teams().revision());
    ops.add(Op.put(ClusterKeys.TEAMS, AssignmentMapCodec.toJson(nextTeams)));
  }

  private void addMachines(
      MachineAssignmentPlanner.Plan machines, Map<String, Long> conditions, List<Op> ops) {
    if (machines.changed().isEmpty()) {
      return;
    }
    conditions.put(ClusterKeys.MACHINES_HEAD, map.machines().revision());
    ops.add(
        Op.put(
            ClusterKeys.MACHINES_HEAD, AssignmentMapCodec.machinesHead(machines.lastGeneration())));
    machines
        .changed()
        .forEach(
            (number, partition) -> {
              String key = ClusterKeys.PARTITIONS + number;
              conditions.put(key, partition.revision());
              ops.add(Op.put(key, AssignmentMapCodec.toJson(partition)));
            });
  }

  private void delayNextNonUrgentWrite(int ops) {
    double pauseMs = ops * 1000 / (facts.storeWriteRps() * ClusterConstants.MAP_WRITE_RATE_SHARE);
    nextNonUrgentWriteAtMs =
        loop.millis() + Math.max(ClusterConstants.MAP_WRITE_INTERVAL_MS, (long) pauseMs);
  }

  private void applyWritten(
      long revision, Teams nextTeams, MachineAssignmentPlanner.Plan machines) {
    if (!nextTeams.equals(map.teams())) {
      map.merge(new Teams(revision, nextTeams.lastGeneration(), nextTeams.assignments()));
    }
    if (!machines.changed().isEmpty()) {
      Map<Integer, Partition> written = new TreeMap<>();
      machines
          .changed()
          .forEach(
              (number, partition) ->
                  written.put(number, new Partition(revision, partition.machines())));
      map.mergeMachines(revision, machines.lastGeneration(), written);
    }
  }

  /**
   * Reads the map again, since the outcome is unknown or another controller wrote: the next write
   * needs the stored revisions.
   */
  private void readBack() {
    writing = true;
    loop.after(StoreConstants.STORE_RETRY_MS, () -> store.list(ClusterKeys.ROOT, this::onReadBack));
  }

  private void onReadBack(ListResult result) {
    if (!(result instanceof ListResult.Listed listed)) {
      writing = false;
      return;
    }
    if (listed.revision() < watch.revision()) {
      // The listing is older than what the watch reported and would restore departed members.
      readBack();
      return;
    }
    writing = false;
    listener.readBack(listed.entries());
  }
}
