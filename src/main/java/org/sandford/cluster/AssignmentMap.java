package org.sandford.cluster;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The assignment map: the owner of each team and machine, with the generation of the last change of
 * owner. The values are immutable, so any thread may read them.
 *
 * <p>The teams are one value in the store, whose revision is a condition of every record write. The
 * machines are divided into partitions, since a fleet exceeds the store's value limit. Each change
 * of a partition also writes the head, so that changes of different partitions are ordered. An
 * owner is an incarnation of a controller, {@code label#number}.
 */
public final class AssignmentMap {
  private AssignmentMap() {}

  /**
   * A team's owner.
   *
   * @param generation grows with each change of any owner in the map
   */
  public record TeamAssignment(String owner, long generation) {}

  /**
   * A machine's owner and its description by the cloud. A task may be started on it only once the
   * map holds its address, so a machine without an address never held a task.
   *
   * @param owner empty until a member was assigned
   * @param generation grows with each change of any owner in the map; 0 before the first owner
   * @param address host and port of the worker agent, or empty while it is not known
   * @param instanceType the name of its instance type
   */
  public record MachineAssignment(
      String owner,
      long generation,
      String address,
      String instanceType,
      String zone,
      boolean spot) {
    static MachineAssignment withoutOwner(
        String address, String instanceType, String zone, boolean spot) {
      return new MachineAssignment("", 0, address, instanceType, zone, spot);
    }

    /** Returns whether the worker agent's address is known, so that tasks may be started. */
    public boolean hasAddress() {
      return !address.isEmpty();
    }

    MachineAssignment withOwner(String newOwner, long newGeneration) {
      return new MachineAssignment(newOwner, newGeneration, address, instanceType, zone, spot);
    }

    MachineAssignment withAddress(String newAddress) {
      return new MachineAssignment(owner, generation, newAddress, instanceType, zone, spot);
    }
  }

  /**
   * All teams.
   *
   * @param revision the store's revision; 0 before the first write
   * @param lastGeneration the last generation that was assigned
   * @param assignments the assignments by team, sorted
   */
  public record Teams(long revision, long lastGeneration, Map<String, TeamAssignment> assignments) {
    static final Teams NONE = new Teams(0, 0, Map.of());
  }

  /**
   * A part of the machines that is stored as one value.
   *
   * @param revision the store's revision; 0 before the first write
   * @param machines the assignments by machine
   */
  public record Partition(long revision, Map<String, MachineAssignment> machines) {}

  /**
   * The machines of all partitions.
   *
   * @param revision the store's revision of the head; 0 before the first write
   * @param lastGeneration the last generation that was assigned
   * @param partitions the partitions by number; if several hold a machine, the highest number takes
   *     precedence
   * @param assignments the assignments by machine
   */
  public record Machines(
      long revision,
      long lastGeneration,
      Map<Integer, Partition> partitions,
      Map<String, MachineAssignment> assignments) {
    static final Machines NONE = new Machines(0, 0, Map.of(), Map.of());

    /** Returns these machines with the head and the partitions replaced by any that are newer. */
    Machines withNewer(long headRevision, long headLastGeneration, Map<Integer, Partition> newer) {
      Map<Integer, Partition> mergedPartitions = new TreeMap<>(partitions);
      newer.forEach(
          (number, partition) ->
              mergedPartitions.merge(
                  number,
                  partition,
                  (known, candidate) -> candidate.revision > known.revision ? candidate : known));
      Map<String, MachineAssignment> mergedMachines = new LinkedHashMap<>();
      mergedPartitions.values().forEach(partition -> mergedMachines.putAll(partition.machines));
      boolean headNewer = headRevision > revision;
      return new Machines(
          headNewer ? headRevision : revision,
          headNewer ? headLastGeneration : lastGeneration,
          Collections.unmodifiableMap(mergedPartitions),
          Collections.unmodifiableMap(mergedMachines));
    }
  }
}
