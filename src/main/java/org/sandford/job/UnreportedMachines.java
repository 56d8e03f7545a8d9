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
  private final Function<String, Resources> capacityOf;
  private final Map<String, Resources> capacityByMachine = new HashMap<>();

  /** The number of machines of unknown capacity; their tasks may use any amount of resources. */
  private int unboundedCount;

  private Resources boundedCapacity = Resources.ZERO;

  /** Whether the machines of the assignment map were added. */
  private final boolean initialized;

  /** Returns a set that may include any machine, since the assignment map was not read yet. */
  static UnreportedMachines uninitialized() {
    return new UnreportedMachines(machine -> Resources.UNBOUNDED, false);
  }

  private UnreportedMachines(Function<String, Resources> capacityOf, boolean initialized) {
    this.capacityOf = capacityOf;
    this.initialized = initialized;
  }

  /** Creates an empty set; {@code capacityOf} returns a machine's capacity by its name. */
  UnreportedMachines(Function<String, Resources> capacityOf) {
    this(capacityOf, true);
  }

  boolean isInitialized() {
    return initialized;
  }

  void add(String machine) {
    Resources capacity = capacityOf.apply(machine);
    capacityByMachine.put(machine, capacity);
    if (capacity.equals(Resources.UNBOUNDED)) {
      unboundedCount++;
    } else {
      boundedCapacity = boundedCapacity.plus(capacity);
    }
  }

  boolean contains(String machine) {
    return capacityByMachine.containsKey(machine);
  }

  boolean isEmpty() {
    return initialized && capacityByMachine.isEmpty();
  }

  void remove(String machine) {
    Resources capacity = capacityByMachine.remove(machine);
    if (capacity != null) {
      subtract(capacity);
    }
  }

  void removeIf(Predicate<String> hasReported) {
    Iterator<Map.Entry<String, Resources>> iterator = capacityByMachine.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, Resources> machine = iterator.next();
      if (hasReported.test(machine.getKey())) {
        iterator.remove();
        subtract(machine.getValue());
      }
    }
  }

  private void subtract(Resources capacity) {
    if (capacity.equals(Resources.UNBOUNDED)) {
      unboundedCount--;
    } else {
      boundedCapacity = boundedCapacity.minus(capacity);
    }
  }

  /** Returns the total capacity of these machines, a bound on what their tasks use. */
  Resources capacity() {
    return !initialized || unboundedCount > 0 ? Resources.UNBOUNDED : boundedCapacity;
  }
}
