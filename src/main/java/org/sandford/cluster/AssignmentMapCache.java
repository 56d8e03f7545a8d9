package org.sandford.cluster;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient.Entry;

/**
 * Caches the assignment map as read from the store or received from a peer. Its revisions only
 * grow: older values are ignored. Runs on the event loop.
 */
final class AssignmentMapCache {
  private Teams teams = Teams.NONE;
  private Machines machines = Machines.NONE;

  Teams teams() {
    return teams;
  }

  Machines machines() {
    return machines;
  }

  /** Stores these teams if they are newer; returns whether they are. */
  boolean merge(Teams candidate) {
    if (candidate.revision() <= teams.revision()) {
      return false;
    }
    teams = candidate;
    return true;
  }

  /** Stores the head and the partitions that are newer; returns whether any is. */
  boolean mergeMachines(
      long headRevision, long lastGeneration, Map<Integer, Partition> partitions) {
    boolean newer = headRevision > machines.revision();
    for (Map.Entry<Integer, Partition> e : partitions.entrySet()) {
      Partition known = machines.partitions().get(e.getKey());
      newer |= known == null || e.getValue().revision() > known.revision();
    }
    if (newer) {
      machines = machines.withNewer(headRevision, lastGeneration, partitions);
    }
    return newer;
  }

  /** Applies a change of the teams' key. */
  void applyTeams(KeyChange change) {
    if (change instanceof Entry entry) {
      merge(AssignmentMapCodec.readTeams(entry.value(), entry.revision()));
    }
  }

  /**
   * Applies the head and the partitions among these changes in one merge, since each merge rebuilds
   * the map of all machines.
   */
  void applyMachines(List<? extends KeyChange> changes) {
    long headRevision = 0;
    long lastGeneration = 0;
    Map<Integer, Partition> partitions = new TreeMap<>();
    for (KeyChange change : changes) {
      if (!(change instanceof Entry entry)) {
        continue;
      }
      if (entry.key().equals(ClusterKeys.MACHINES_HEAD)) {
        headRevision = entry.revision();
        lastGeneration = AssignmentMapCodec.readLastGeneration(entry.value());
      } else if (entry.key().startsWith(ClusterKeys.PARTITIONS)) {
        int number = Integer.parseInt(entry.key().substring(ClusterKeys.PARTITIONS.length()));
        partitions.put(number, AssignmentMapCodec.readPartition(entry.value(), entry.revision()));
      }
    }
    mergeMachines(headRevision, lastGeneration, partitions);
  }
}
