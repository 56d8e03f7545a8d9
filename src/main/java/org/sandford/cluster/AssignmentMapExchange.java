package org.sandford.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.peer.wire.AssignmentRevisions;
import org.sandford.peer.wire.AssignmentUpdate;
import org.sandford.peer.wire.PartitionUpdate;
import org.sandford.runtime.Json;

/**
 * Exchanges the assignment map between controllers, so that one that is cut off from the store
 * learns from the others that it was replaced. Runs on the event loop.
 */
final class AssignmentMapExchange {
  private final AssignmentMapCache map;

  /** The revisions at the latest heartbeat and at the previous one. */
  private long advertisedTeamsRevision;

  private long advertisedMachinesRevision;
  private long previousTeamsRevision;
  private long previousMachinesRevision;

  AssignmentMapExchange(AssignmentMapCache map) {
    this.map = map;
  }

  /** Returns the revisions to advertise to the peers. Called once a heartbeat. */
  AssignmentRevisions advertise() {
    previousTeamsRevision = advertisedTeamsRevision;
    previousMachinesRevision = advertisedMachinesRevision;
    advertisedTeamsRevision = map.teams().revision();
    advertisedMachinesRevision = map.machines().revision();
    return new AssignmentRevisions(advertisedTeamsRevision, advertisedMachinesRevision);
  }

  /**
   * Returns the part of the map that a peer lacks, if any. Only revisions that were known here a
   * heartbeat ago are compared: a peer gets newer ones by its own watch, unless it is cut off from
   * the store.
   */
  Optional<AssignmentUpdate> updateFor(AssignmentRevisions peerRevisions) {
    boolean lacksTeams = peerRevisions.teamsRevision < previousTeamsRevision;
    boolean lacksMachines = peerRevisions.machinesRevision < previousMachinesRevision;
    if (!lacksTeams && !lacksMachines) {
      return Optional.empty();
    }
    Teams teams = map.teams();
    Machines machines = map.machines();
    List<PartitionUpdate> newer = new ArrayList<>();
    machines
        .partitions()
        .forEach(
            (number, partition) -> {
              if (partition.revision() > peerRevisions.machinesRevision) {
                String text = Json.text(AssignmentMapCodec.toJson(partition));
                newer.add(new PartitionUpdate(number, partition.revision(), text));
              }
            });
    return Optional.of(
        new AssignmentUpdate(
            teams.revision(),
            Json.text(AssignmentMapCodec.toJson(teams)),
            machines.revision(),
            machines.lastGeneration(),
            newer));
  }

  /** Applies what is newer in a peer's update; returns whether anything is. */
  boolean apply(AssignmentUpdate update) {
    boolean changed = false;
    if (update.teamsRevision > map.teams().revision()) {
      changed =
          map.merge(AssignmentMapCodec.readTeams(Json.read(update.teams), update.teamsRevision));
    }
    Map<Integer, Partition> partitions = new TreeMap<>();
    update.partitions.forEach(
        partition ->
            partitions.put(
                partition.number,
                AssignmentMapCodec.readPartition(
                    Json.read(partition.machines), partition.revision)));
    changed |= map.mergeMachines(update.machinesRevision, update.lastGeneration, partitions);
    return changed;
  }
}
