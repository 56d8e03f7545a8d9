package org.sandford.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.constants.ClusterConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans one change of the machines in the assignment map: applies the pending changes and assigns
 * an owner to each machine whose owner is no longer a member. Has no side effects but logging; each
 * plan takes a new instance. One plan fits into one transaction; the rest is planned after that
 * transaction.
 *
 * <p>A partition that exceeds the store's value limit, because it was written under a larger one,
 * is split. Its excess machines are first copied to partitions with higher numbers, which take
 * precedence over lower ones, and are removed from it once all of these copies are stored.
 */
final class MachineAssignmentPlanner {
  private static final Logger log = LoggerFactory.getLogger(MachineAssignmentPlanner.class);

  /** Operations of a transaction reserved for the machines' head and the teams. */
  private static final int RESERVED_OPS = 2;

  /**
   * The changes to plan.
   *
   * @param additions machines to add, or known machines with a new address
   * @param removals names of the machines to remove
   * @param moves the requested owner by machine
   */
  record Changes(
      Collection<Cluster.NewMachine> additions, Set<String> removals, Map<String, String> moves) {}

  /**
   * The partitions to write.
   *
   * @param lastGeneration the last generation that was assigned
   * @param changed the changed partitions by number, each with the revision that it replaces
   */
  record Plan(long lastGeneration, Map<Integer, Partition> changed) {}

  private final Settings.Facts facts;
  private final Machines machines;
  private final Set<String> liveMembers;
  private final Map<Integer, Map<String, MachineAssignment>> drafts = new TreeMap<>();

  /** The authoritative partition of each machine: the highest number of those that hold it. */
  private final Map<String, Integer> partitionOfMachine = new HashMap<>();

  private final Map<Integer, Integer> machinesPerPartition = new TreeMap<>();
  private final ShardSizes shardSizes = new ShardSizes();
  private final Set<String> removed = new TreeSet<>();

  /** Partitions that this plan leaves too large: copies of their machines must be stored first. */
  private final Set<Integer> splitting = new TreeSet<>();

  private long lastGeneration;

  MachineAssignmentPlanner(Settings.Facts facts, Machines machines, Set<String> liveMembers) {
    this.facts = facts;
    this.machines = machines;
    this.liveMembers = liveMembers;
    this.lastGeneration = machines.lastGeneration();
    machines
        .partitions()
        .forEach(
            (number, partition) -> machinesPerPartition.put(number, partition.machines().size()));
    machines
        .partitions()
        .forEach(
            (number, partition) ->
                partition
                    .machines()
                    .keySet()
                    .forEach(name -> partitionOfMachine.put(name, number)));
    machines.assignments().values().forEach(shardSizes::add);
  }

  Plan plan(Changes changes) {
    changes.removals.forEach(this::remove);
    changes.additions.forEach(machine -> add(machine, changes.removals));
    machines.partitions().forEach(this::splitIfTooLarge);
    assignOwners(changes.moves);
    return new Plan(lastGeneration, partitionsForOneTransaction());
  }

  private void remove(String name) {
    Integer number = partitionOfMachine.get(name);
    // While a partition that is being split still holds an older copy, removing the newer one would
    // restore it.
    if (number != null && !hasOlderCopy(name, number)) {
      draft(number).remove(name);
      removed.add(name);
    }
  }

  private boolean hasOlderCopy(String name, int number) {
    return machines.partitions().entrySet().stream()
        .anyMatch(
            partition ->
                partition.getKey() < number && partition.getValue().machines().containsKey(name));
  }

  private void add(Cluster.NewMachine machine, Set<String> removals) {
    MachineAssignment known = machines.assignments().get(machine.name());
    if (known == null) {
      int number = partitionWithMostSpace();
      machinesPerPartition.merge(number, 1, Integer::sum);
      draft(number)
          .put(
              machine.name(),
              MachineAssignment.withoutOwner(
                  machine.address(), machine.instanceType(), machine.zone(), machine.spot()));
    } else if (!known.hasAddress() && machine.hasAddress() && !removals.contains(machine.name())) {
      draft(partitionOfMachine.get(machine.name()))
          .put(machine.name(), known.withAddress(machine.address()));
    }
  }

  private int maxEntriesPerPartition() {
    return (int)
        (facts.storeValueBytes()
            * ClusterConstants.MAP_PARTITION_FILL_SHARE
            / ClusterConstants.MAP_ENTRY_BYTES);
  }

  /**
   * Returns the partition with the fewest machines, or a new one when all are full. Machines that
   * are provisioned together thus mostly share partitions; they also start and are decommissioned
   * together, which then changes few partitions.
   */
  private int partitionWithMostSpace() {
    int emptiest = 0;
    while (machinesPerPartition.containsKey(emptiest)) {
      emptiest++;
    }
    int fewestMachines = Integer.MAX_VALUE;
    for (Map.Entry<Integer, Integer> e : machinesPerPartition.entrySet()) {
      if (e.getValue() < maxEntriesPerPartition() && e.getValue() < fewestMachines) {
        emptiest = e.getKey();
        fewestMachines = e.getValue();
      }
    }
    return emptiest;
  }

  private void splitIfTooLarge(int number, Partition partition) {
    if (partition.machines().size() <= maxEntriesPerPartition()
        || encodedSize(partition)
            <= facts.storeValueBytes() * ClusterConstants.MAP_PARTITION_SPLIT_SHARE) {
      return;
    }
    Map<String, MachineAssignment> remaining = draft(number);
    remaining.keySet().removeIf(name -> partitionOfMachine.get(name) != number);
    List<String> moving = new ArrayList<>(remaining.keySet());
    // Machines without an owner are moved first: their new owner can be written at once.
    moving.sort(
        (a, b) ->
            Boolean.compare(
                liveMembers.contains(remaining.get(a).owner()),
                liveMembers.contains(remaining.get(b).owner())));
    int excess = moving.size() - maxEntriesPerPartition();
    int moved = 0;
    while (moved < excess && drafts.size() + RESERVED_OPS < facts.storeTxnOps()) {
      int target = nextPartitionNumber();
      int end = Math.min(excess, moved + maxEntriesPerPartition());
      for (String name : moving.subList(moved, end)) {
        draft(target).put(name, remaining.remove(name));
        partitionOfMachine.put(name, target);
      }
      machinesPerPartition.put(target, end - moved);
      moved = end;
    }
    if (moved < excess) {
      // The remaining copies follow in later transactions; until then the partition stays
      // unchanged.
      drafts.remove(number);
      splitting.add(number);
    }
  }

  /** Returns a number above all others, so that copies take precedence over their originals. */
  private int nextPartitionNumber() {
    return machinesPerPartition.keySet().stream().mapToInt(Integer::intValue).max().orElse(-1) + 1;
  }

  private void assignOwners(Map<String, String> moves) {
    if (liveMembers.isEmpty()) {
      return;
    }
    Set<Integer> numbers = new TreeSet<>(machines.partitions().keySet());
    numbers.addAll(drafts.keySet());
    numbers.removeAll(splitting);
    for (int number : numbers) {
      Map<String, MachineAssignment> before = drafts.getOrDefault(number, stored(number));
      for (Map.Entry<String, MachineAssignment> e : new TreeMap<>(before).entrySet()) {
        boolean authoritative = partitionOfMachine.getOrDefault(e.getKey(), number) == number;
        String requestedOwner = moves.get(e.getKey());
        if (authoritative && needsNewOwner(e.getValue(), requestedOwner)) {
          MachineAssignment assigned =
              e.getValue().withOwner(nextOwner(e.getValue(), requestedOwner), ++lastGeneration);
          shardSizes.add(assigned);
          draft(number).put(e.getKey(), assigned);
        }
      }
    }
  }

  private boolean needsNewOwner(MachineAssignment machine, String requestedOwner) {
    boolean moves = isMember(requestedOwner) && !requestedOwner.equals(machine.owner());
    return moves || !liveMembers.contains(machine.owner());
  }

  private String nextOwner(MachineAssignment machine, String requestedOwner) {
    return isMember(requestedOwner)
        ? requestedOwner
        : shardSizes.leastLoaded(liveMembers, machine.zone());
  }

  /** Returns whether an owner was requested and is a member. */
  private boolean isMember(String requestedOwner) {
    return requestedOwner != null && liveMembers.contains(requestedOwner);
  }

  /**
   * Returns the partitions that differ from the stored ones, as many as fit into one transaction.
   * New partitions come first because they hold copies.
   */
  private Map<Integer, Partition> partitionsForOneTransaction() {
    Map<Integer, Partition> changed = new TreeMap<>();
    List<Integer> draftNumbers = new ArrayList<>(drafts.keySet());
    draftNumbers.sort(
        (a, b) ->
            Boolean.compare(
                machines.partitions().containsKey(a), machines.partitions().containsKey(b)));
    int total = 0;
    for (int number : draftNumbers) {
      Map<String, MachineAssignment> draft = drafts.get(number);
      if (draft.equals(stored(number)) || !losesNoMachine(number, draft, changed)) {
        continue;
      }
      Partition known = machines.partitions().get(number);
      Partition partition = new Partition(known == null ? 0 : known.revision(), draft);
      int size = encodedSize(partition);
      if (size > facts.storeValueBytes()) {
        log.error(
            "partition exceeds the value limit of the store, left unchanged partition={} bytes={}",
            number,
            size);
        continue;
      }
      total += size;
      if (total > StoreConstants.STORE_TXN_MAX_BYTES
          || changed.size() + RESERVED_OPS >= facts.storeTxnOps()) {
        break;
      }
      changed.put(number, partition);
    }
    return changed;
  }

  /**
   * Returns whether each machine dropped from the partition is being removed, or is stored in
   * another partition by the end of this transaction.
   */
  private boolean losesNoMachine(
      int number, Map<String, MachineAssignment> draft, Map<Integer, Partition> changed) {
    for (String name : stored(number).keySet()) {
      if (draft.containsKey(name) || removed.contains(name)) {
        continue;
      }
      int other = partitionOfMachine.get(name);
      Map<String, MachineAssignment> otherMachines =
          changed.containsKey(other) ? changed.get(other).machines() : stored(other);
      if (other == number || !otherMachines.containsKey(name)) {
        return false;
      }
    }
    return true;
  }

  private Map<String, MachineAssignment> stored(int number) {
    Partition partition = machines.partitions().get(number);
    return partition == null ? Map.of() : partition.machines();
  }

  private Map<String, MachineAssignment> draft(int number) {
    return drafts.computeIfAbsent(number, n -> new TreeMap<>(stored(n)));
  }

  private static int encodedSize(Partition partition) {
    return Json.bytes(AssignmentMapCodec.toJson(partition)).length;
  }
}
