package org.sandford.job;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The machines that have not yet reported a team's tasks after its failover. They may run tasks of
 * the former owner that are unknown here, up to their capacity. Used on the event loop.
 */
final class UnreportedMachines {
  private final Function<String, Resources> capacities;
  private final Map<String, Resources> machines = new HashMap<>();

  /** The number of machines of unknown capacity. */
  private int unbounded;

  private Resources bounded = Resources.ZERO;

  /** Whether the machines of the assignment map were added. */
  private final boolean listed;

  /** Returns a set that may include any machine, since the assignment map was not read yet. */
  static UnreportedMachines unlisted() {
    return new UnreportedMachines(machine -> Resources.UNBOUNDED, false);
  }

  private UnreportedMachines(Function<String, Resources> capacities, boolean listed) {
    this.capacities = capacities;
    this.listed = listed;
  }

  /** Creates an empty set; {@code capacities} returns a machine's capacity by its name. */
  UnreportedMachines(Function<String, Resources> capacities) {
    this(capacities, true);
  }

  boolean isListed() {
    return listed;
  }

  void add(String machine) {
    Resources capacity = capacities.apply(machine);
    machines.put(machine, capacity);
    if (capacity.equals(Resources.UNBOUNDED)) {
      unbounded++;
    } else {
      bounded = bounded.plus(capacity);
    }
  }

  boolean contains(String machine) {
    return machines.containsKey(machine);
  }

  boolean isEmpty() {
    return listed && machines.isEmpty();
  }

  void remove(String machine) {
    Resources capacity = machines.remove(machine);
    if (capacity != null) {
      subtract(capacity);
    }
  }

  void removeIf(Predicate<String> hasReported) {
    Iterator<Map.Entry<String, Resources>> each = machines.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<String, Resources> machine = each.next();
      if (hasReported.test(machine.getKey())) {
        each.remove();
        subtract(machine.getValue());
      }
    }
  }

  private void subtract(Resources capacity) {
    if (capacity.equals(Resources.UNBOUNDED)) {
      unbounded--;
    } else {
      bounded = bounded.minus(capacity);
    }
  }

  /** Returns the total capacity of these machines, a bound on what their tasks use. */
  Resources capacity() {
    return !listed || unbounded > 0 ? Resources.UNBOUNDED : bounded;
  }
}
