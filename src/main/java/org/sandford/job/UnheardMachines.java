package org.sandford.job;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The machines that have not told yet what they hold of a team that was taken over. They may hold
 * tasks of the former owner that nobody here knows of, up to what they can hold at all.
 */
final class UnheardMachines {
  private final Function<String, Amount> capacities;
  private final Map<String, Amount> machines = new HashMap<>();

  /** Machines of unknown capacity; anything may be on them. */
  private int unbounded;

  private Amount bounded = Amount.ZERO;

  /** {@code capacities} gives what a machine can hold by its name. */
  UnheardMachines(Function<String, Amount> capacities) {
    this.capacities = capacities;
  }

  void add(String machine) {
    Amount capacity = capacities.apply(machine);
    machines.put(machine, capacity);
    if (capacity.equals(Amount.UNBOUNDED)) {
      unbounded++;
    } else {
      bounded = bounded.plus(capacity);
    }
  }

  boolean contains(String machine) {
    return machines.containsKey(machine);
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  void remove(String machine) {
    Amount capacity = machines.remove(machine);
    if (capacity != null) {
      subtract(capacity);
    }
  }

  void removeIf(Predicate<String> told) {
    Iterator<Map.Entry<String, Amount>> each = machines.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<String, Amount> machine = each.next();
      if (told.test(machine.getKey())) {
        each.remove();
        subtract(machine.getValue());
      }
    }
  }

  private void subtract(Amount capacity) {
    if (capacity.equals(Amount.UNBOUNDED)) {
      unbounded--;
    } else {
      bounded = bounded.minus(capacity);
    }
  }

  /** The most that tasks on these machines can hold together. */
  Amount capacity() {
    return unbounded > 0 ? Amount.UNBOUNDED : bounded;
  }
}
