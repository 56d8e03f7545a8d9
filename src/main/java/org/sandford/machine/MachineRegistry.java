package org.sandford.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Holds the machines that the assignment map gives to this controller. Runs on the event loop. */
final class MachineRegistry {
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Returns the machine of this name, or null if it is not in this shard. */
  Machine get(String name) {
    return machines.get(name);
  }

  boolean contains(String name) {
    return machines.containsKey(name);
  }

  /**
   * Returns whether this object is the current one of its machine. Replies for an outdated object
   * are dropped.
   */
  boolean isCurrent(Machine machine) {
    return machines.get(machine.name()) == machine;
  }

  /** Returns a live view of all machines; the caller must not add or remove any while iterating. */
  Collection<Machine> all() {
    return machines.values();
  }

  /** Returns a copy of the names, in the order in which the machines were assigned. */
  List<String> names() {
    return new ArrayList<>(machines.keySet());
  }

  int size() {
    return machines.size();
  }

  void put(Machine machine) {
    machines.put(machine.name(), machine);
  }

  void remove(String name) {
    machines.remove(name);
  }

  /** Returns the number of machines in each state, by the state's name in lower case. */
  Map<String, Integer> countByState() {
    Map<String, Integer> counts = new LinkedHashMap<>();
    for (Machine machine : machines.values()) {
      counts.merge(machine.state().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
    }
    return counts;
  }
}
