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
 * Holds the changes that were requested from the leader and that the assignment map does not
 * contain yet. They are kept in memory only: the requests are repeated to a new leader. Runs on the
 * event loop.
 */
final class PendingChanges {
  private final AssignmentMapCache map;
  private final ClusterMembers members;
  private final Runnable onChange;

  private final Map<String, NewMachine> additions = new LinkedHashMap<>();
  private final Set<String> removals = new TreeSet<>();

  /** Removals of machines whose tasks start elsewhere only afterwards; a subset of the removals. */
  private final Set<String> urgentRemovals = new HashSet<>();

  /** The requested owner by machine. */
  private final Map<String, String> moves = new LinkedHashMap<>();

  /** The generation in which a team's owner handed it over, by team. */
  private final Map<String, Long> handedOverGenerations = new TreeMap<>();

  /**
   * Creates an empty set of changes.
   *
   * @param onChange runs when a change was added that requires a reconciliation
   */
  PendingChanges(AssignmentMapCache map, ClusterMembers members, Runnable onChange) {
    this.map = map;
    this.members = members;
    this.onChange = onChange;
  }

  void addMachine(NewMachine machine) {
    MachineAssignment known = map.machines().assignments().get(machine.name());
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
   * Requests the removal of a machine.
   *
   * @param urgent whether tasks wait for the removal
   */
  void removeMachine(String name, boolean urgent) {
    additions.remove(name);
    moves.remove(name);
    if (!map.machines().assignments().containsKey(name)) {
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

  /** Adds moves that the current reconciliation planned itself, so it requests no other. */
  void moveMachines(Map<String, String> ownerByMachine) {
    moves.putAll(ownerByMachine);
  }

  /** Records that the team's owner of this generation no longer acts for it. */
  void markHandedOver(String team, long generation) {
    TeamAssignment current = map.teams().assignments().get(team);
    if (current != null && current.generation() == generation) {
      handedOverGenerations.put(team, generation);
      onChange.run();
    }
  }

  boolean isHandedOver(String team) {
    TeamAssignment current = map.teams().assignments().get(team);
    Long generation = handedOverGenerations.get(team);
    return current != null && generation != null && generation == current.generation();
  }

  /** Returns whether a machine is to be added, removed or moved. */
  boolean hasMachineChanges() {
    return !additions.isEmpty() || !removals.isEmpty() || !moves.isEmpty();
  }

  /** Returns whether tasks wait for a machine's removal. */
  boolean hasUrgentRemovals() {
    return !urgentRemovals.isEmpty();
  }

  /** Returns a view of all machine changes. */
  MachineAssignmentPlanner.Changes machineChanges() {
    return new MachineAssignmentPlanner.Changes(additions.values(), removals, moves);
  }

  /** Returns a view of only the removals that tasks wait for. */
  MachineAssignmentPlanner.Changes urgentMachineChanges() {
    return new MachineAssignmentPlanner.Changes(List.of(), urgentRemovals, Map.of());
  }

  /** Returns whether an address of the machine is known that the map does not hold yet. */
  boolean hasPendingAddress(String name) {
    NewMachine addition = additions.get(name);
    return addition != null && addition.hasAddress();
  }

  /** Returns the machines to add that the map does not hold, in the order of the requests. */
  Collection<NewMachine> additionsNotInMap() {
    return additions.values().stream()
        .filter(addition -> !map.machines().assignments().containsKey(addition.name()))
        .toList();
  }

  /** Drops the changes that the map contains by now and those that are no longer possible. */
  void dropCompleted() {
    additions.values().removeIf(this::isAdded);
    removals.removeIf(name -> !map.machines().assignments().containsKey(name));
    urgentRemovals.retainAll(removals);
    moves.entrySet().removeIf(move -> isMovedOrImpossible(move.getKey(), move.getValue()));
    handedOverGenerations.keySet().removeIf(team -> !isHandedOver(team));
  }

  private boolean isAdded(NewMachine addition) {
    MachineAssignment current = map.machines().assignments().get(addition.name());
    return current != null && (current.hasAddress() || !addition.hasAddress());
  }

  private boolean isMovedOrImpossible(String machine, String newOwner) {
    MachineAssignment current = map.machines().assignments().get(machine);
    return current == null || current.owner().equals(newOwner) || !members.contains(newOwner);
  }
}
