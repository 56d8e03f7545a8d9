package org.sandford.cluster;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.Cluster.NewMachine;

/**
 * Changes of the assignment map that the leader has been asked for and that the map does not show
 * yet. They are kept in memory only: a new leader is asked again. Runs on the event loop.
 */
final class PendingChanges {
  private final AssignmentMapCache map;
  private final ClusterMembers members;
  private final Runnable onChange;

  private final Map<String, NewMachine> additions = new LinkedHashMap<>();
  private final Set<String> removals = new TreeSet<>();

  /** Removals of machines whose tasks start elsewhere only after them; a subset of the removals. */
  private final Set<String> urgentRemovals = new HashSet<>();

  /** The requested owner of each machine that is to move. */
  private final Map<String, String> moves = new LinkedHashMap<>();

  /** The generation of each team under which its owner handed it over. */
  private final Map<String, Long> handedOverGenerations = new TreeMap<>();

  /**
   * Makes an empty set of changes.
   *
   * @param onChange runs when a change was added that is worth a look at the map
   */
  PendingChanges(AssignmentMapCache map, ClusterMembers members, Runnable onChange) {
    this.map = map;
    this.members = members;
    this.onChange = onChange;
  }

  void addMachine(NewMachine machine) {
    MachineAssignment known = map.machines().of().get(machine.name());
    boolean changesMap = known == null || (!known.hasAddress() && machine.hasAddress());
    if (!changesMap || removals.contains(machine.name())) {
      return;
    }
    NewMachine pendingAddition = additions.get(machine.name());
    if (pendingAddition == null || !pendingAddition.hasAddress()) {
      additions.put(machine.name(), machine);
      onChange.run();
    }
  }

  /**
   * Removes a machine.
   *
   * @param urgent whether tasks wait for the removal
   */
  void removeMachine(String name, boolean urgent) {
    additions.remove(name);
    moves.remove(name);
    if (!map.machines().of().containsKey(name)) {
      return;
    }
    removals.add(name);
    if (urgent) {
      urgentRemovals.add(name);
    }
    onChange.run();
  }

  void moveMachine(String name, String newOwner) {
    moves.put(name, newOwner);
    onChange.run();
  }

  /** Adds moves, by machine, in the course of a reconciliation that takes them up itself. */
  void moveMachines(Map<String, String> ownerByMachine) {
    moves.putAll(ownerByMachine);
  }

  /** The team's owner of this generation no longer acts for it. */
  void markHandedOver(String team, long generation) {
    TeamAssignment current = map.teams().of().get(team);
    if (current != null && current.generation() == generation) {
      handedOverGenerations.put(team, generation);
      onChange.run();
    }
  }

  boolean isHandedOver(String team) {
    TeamAssignment current = map.teams().of().get(team);
    Long generation = handedOverGenerations.get(team);
    return current != null && generation != null && generation == current.generation();
  }

  /** Whether a machine is to be added, removed or moved. */
  boolean hasMachineChanges() {
    return !additions.isEmpty() || !removals.isEmpty() || !moves.isEmpty();
  }

  /** Whether tasks wait for a machine's removal. */
  boolean hasUrgentRemovals() {
    return !urgentRemovals.isEmpty();
  }

  /** All changes of machines; a view. */
  MachineAssignmentPlanner.Changes machineChanges() {
    return new MachineAssignmentPlanner.Changes(additions.values(), removals, moves);
  }

  /** Only the removals that tasks wait for; a view. */
  MachineAssignmentPlanner.Changes urgentMachineChanges() {
    return new MachineAssignmentPlanner.Changes(List.of(), urgentRemovals, Map.of());
  }

  /** Machines to be added that the map does not hold, in the order of the requests. */
  Collection<NewMachine> additionsNotInMap() {
    return additions.values().stream()
        .filter(addition -> !map.machines().of().containsKey(addition.name()))
        .toList();
  }

  /** Drops what the map shows by now, and what can no longer be done. */
  void dropCompleted() {
    additions.values().removeIf(this::isAdded);
    removals.removeIf(name -> !map.machines().of().containsKey(name));
    urgentRemovals.retainAll(removals);
    moves.entrySet().removeIf(move -> isMovedOrImpossible(move.getKey(), move.getValue()));
    handedOverGenerations.keySet().removeIf(team -> !isHandedOver(team));
  }

  private boolean isAdded(NewMachine addition) {
    MachineAssignment current = map.machines().of().get(addition.name());
    return current != null && (current.hasAddress() || !addition.hasAddress());
  }

  private boolean isMovedOrImpossible(String machine, String newOwner) {
    MachineAssignment current = map.machines().of().get(machine);
    return current == null || current.owner().equals(newOwner) || !members.contains(newOwner);
  }
}
