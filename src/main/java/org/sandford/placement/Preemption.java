package org.sandford.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;
import org.sandford.constants.PlacementConstants;

/**
 * Chooses the tasks to preempt so that others fit, with the least loss of progress and the lowest
 * rank first. The caller decides which tasks may be preempted at all. Has no side effects.
 */
public final class Preemption {
  /**
   * A task that may be preempted.
   *
   * @param lossCpuS CPU seconds of work lost when it stops; for a task of a gang, those of the
   *     whole gang, which stops with it
   * @param gang name of the gang that stops with it; empty for a task outside a gang
   */
  public record Victim(
      String machine,
      String team,
      String job,
      int task,
      long attempt,
      int rank,
      double cpus,
      double gpus,
      double ram,
      double lossCpuS,
      String gang) {
    private static final String NO_GANG = "";

    /** Creates a task that belongs to no gang. */
    public Victim(
        String machine,
        String team,
        String job,
        int task,
        long attempt,
        int rank,
        double cpus,
        double gpus,
        double ram,
        double lossCpuS) {
      this(machine, team, job, task, attempt, rank, cpus, gpus, ram, lossCpuS, NO_GANG);
    }

    /** Returns the same task as part of a gang, with the loss of the whole gang. */
    public Victim asPartOfGang(String name, double gangLossCpuS) {
      return new Victim(
          machine, team, job, task, attempt, rank, cpus, gpus, ram, gangLossCpuS, name);
    }

    boolean isInGang() {
      return !gang.isEmpty();
    }
  }

  /** The victims on one machine, and for how many tasks its resources are then reserved. */
  public record Eviction(CandidateMachine candidate, List<Victim> victims, int tasks) {}

  private final ResourceRequest request;
  private final Map<CandidateMachine, double[]> freeByCandidate = new LinkedHashMap<>();
  private final Map<String, CandidateMachine> candidatesByName = new HashMap<>();
  private final Map<CandidateMachine, Integer> order = new HashMap<>();
  private final Map<String, List<Victim>> victimsByMachine = new HashMap<>();
  private final Map<String, Set<String>> machinesByGang = new HashMap<>();

  /** Gangs already chosen to stop: stopping further tasks of them adds no loss. */
  private final Set<String> stoppedGangs = new HashSet<>();

  /** The current option of each machine; the queue also holds outdated ones. */
  private final Map<CandidateMachine, EvictionOption> currentOptions = new HashMap<>();

  private final PriorityQueue<EvictionOption> options = new PriorityQueue<>();
  private final Map<String, Integer> tasksByZone;
  private final Map<CandidateMachine, Eviction> evictions = new LinkedHashMap<>();
  private String requiredZone;

  private Preemption(
      ResourceRequest request, Collection<CandidateMachine> candidates, List<Victim> victims) {
    this.request = request;
    this.tasksByZone = new HashMap<>(request.tasksByZone());
    this.requiredZone =
        request.sameZone() ? tasksByZone.keySet().stream().findFirst().orElse("") : "";
    for (Victim victim : victims) {
      victimsByMachine.computeIfAbsent(victim.machine, machine -> new ArrayList<>()).add(victim);
      if (victim.isInGang()) {
        machinesByGang
            .computeIfAbsent(victim.gang, gang -> new LinkedHashSet<>())
            .add(victim.machine);
      }
    }
    victimsByMachine.values().forEach(this::sortVictims);
    for (CandidateMachine candidate : candidates) {
      if (request.allows(candidate)) {
        order.put(candidate, freeByCandidate.size());
        candidatesByName.put(candidate.machine, candidate);
        freeByCandidate.put(candidate, availableTo(candidate));
      }
    }
  }

  /**
   * Finds resources for {@code count} tasks, free ones first, then those of victims; returns null
   * when they do not suffice. Allocates nothing from the candidates.
   */
  public static List<Eviction> chooseEvictions(
      ResourceRequest request,
      int count,
      Collection<CandidateMachine> candidates,
      List<Victim> victims,
      boolean allOrNone) {
    if (request.sameZone() && request.zone().isEmpty() && request.tasksByZone().isEmpty()) {
      return chooseInCheapestZone(request, count, candidates, victims, allOrNone);
    }
    return new Preemption(request, candidates, victims).findEvictions(count, allOrNone);
  }

  private List<Eviction> findEvictions(int count, boolean allOrNone) {
    // Accepting an option changes only its own machine and those of the stopped gangs, so only
    // their options are recomputed.
    freeByCandidate.keySet().forEach(this::updateOption);
    int remainingTasks = count;
    while (remainingTasks > 0 && !options.isEmpty()) {
      EvictionOption best = options.poll();
      if (best.equals(currentOptions.get(best.candidate)) && isZoneAllowed(best.candidate.zone)) {
        accept(best);
        remainingTasks--;
      }
    }
    boolean sufficient = allOrNone ? remainingTasks == 0 : remainingTasks < count;
    return sufficient ? new ArrayList<>(evictions.values()) : null;
  }

  /** Sorts tasks of stopping gangs first, then by lowest rank, then by least loss. */
  private void sortVictims(List<Victim> victims) {
    victims.sort(
        Comparator.comparing((Victim v) -> !(v.isInGang() && stoppedGangs.contains(v.gang)))
            .thenComparingInt(v -> -v.rank)
            .thenComparingDouble(Victim::lossCpuS));
  }

  /**
   * Returns the free CPUs, accelerators and memory. Resources reserved for the job count even while
   * preempted tasks still occupy them; otherwise further tasks would be preempted for the same
   * need.
   */
  private double[] availableTo(CandidateMachine candidate) {
    double[] reservedForOthers = candidate.reservedForOthers(request);
    double[] reservedForJob = candidate.reservedFor(request);
    return new double[] {
      Math.max(reservedForJob[0], candidate.freeCpus - reservedForOthers[0]),
      Math.max(reservedForJob[1], candidate.freeGpus - reservedForOthers[1]),
      Math.max(reservedForJob[2], candidate.freeRam - reservedForOthers[2])
    };
  }

  private boolean isZoneAllowed(String zone) {
    return tasksByZone.getOrDefault(zone, 0) < request.maxTasksPerZone()
        && (requiredZone.isEmpty() || requiredZone.equals(zone));
  }

  private void accept(EvictionOption option) {
    CandidateMachine candidate = option.candidate;
    double[] available = freeByCandidate.get(candidate);
    available[0] -= request.cpus();
    available[1] -= request.gpus();
    available[2] -= request.ram();
    for (Victim victim : option.victimsToStop) {
      available[0] += victim.cpus;
      available[1] += victim.gpus;
      available[2] += victim.ram;
      victimsByMachine.get(candidate.machine).remove(victim);
    }
    Eviction previous = evictions.getOrDefault(candidate, new Eviction(candidate, List.of(), 0));
    List<Victim> victimsOnMachine = new ArrayList<>(previous.victims);
    victimsOnMachine.addAll(option.victimsToStop);
    evictions.put(candidate, new Eviction(candidate, victimsOnMachine, previous.tasks + 1));
    tasksByZone.merge(candidate.zone, 1, Integer::sum);
    if (request.sameZone()) {
      requiredZone = candidate.zone;
    }
    option.victimsToStop.forEach(this::stopGang);
    updateOption(candidate);
  }

  /** Marks the victim's gang as stopped and updates the options of its other machines. */
  private void stopGang(Victim victim) {
    if (victim.isInGang() && stoppedGangs.add(victim.gang)) {
      for (String machine : machinesByGang.get(victim.gang)) {
        sortVictims(victimsByMachine.get(machine));
        CandidateMachine candidate = candidatesByName.get(machine);
        if (candidate != null && !machine.equals(victim.machine)) {
          updateOption(candidate);
        }
      }
    }
  }

  /** Recomputes the option of the machine; removes it when one more task cannot fit. */
  private void updateOption(CandidateMachine candidate) {
    List<Victim> victimsToStop =
        firstSufficientVictims(
            freeByCandidate.get(candidate),
            victimsByMachine.getOrDefault(candidate.machine, List.of()));
    if (victimsToStop == null) {
      currentOptions.remove(candidate);
      return;
    }
    EvictionOption option =
        new EvictionOption(
            candidate, victimsToStop, additionalLoss(victimsToStop), order.get(candidate));
    currentOptions.put(candidate, option);
    options.add(option);
  }

  /**
   * Returns the loss added by these tasks: each gang once, and gangs that stop already not at all.
   */
  private double additionalLoss(List<Victim> victimsToStop) {
    return lossOf(victimsToStop.stream(), new HashSet<>(stoppedGangs));
  }

  /** Returns the fewest leading victims whose resources suffice for one task, or null. */
  private List<Victim> firstSufficientVictims(double[] freeResources, List<Victim> victims) {
    double[] available = freeResources.clone();
    List<Victim> victimsToStop = new ArrayList<>();
    for (Victim victim : victims) {
      if (fitsOneTask(available)) {
        return victimsToStop;
      }
      victimsToStop.add(victim);
      available[0] += victim.cpus;
      available[1] += victim.gpus;
      available[2] += victim.ram;
    }
    return fitsOneTask(available) ? victimsToStop : null;
  }

  private boolean fitsOneTask(double[] freeResources) {
    double epsilon = PlacementConstants.RESOURCE_EPSILON;
    return request.cpus() <= freeResources[0] + epsilon
        && request.gpus() <= freeResources[1] + epsilon
        && request.ram() <= freeResources[2] + epsilon;
  }

  /**
   * Tries each zone by itself, since the zone of the cheapest first victim may lack resources for
   * the remaining tasks.
   */
  private static List<Eviction> chooseInCheapestZone(
      ResourceRequest request,
      int count,
      Collection<CandidateMachine> candidates,
      List<Victim> victims,
      boolean allOrNone) {
    List<Eviction> best = null;
    for (String zone :
        candidates.stream().map(candidate -> candidate.zone).distinct().sorted().toList()) {
      List<Eviction> found =
          chooseEvictions(request.restrictedToZone(zone), count, candidates, victims, allOrNone);
      if (found != null && (best == null || isBetter(found, best))) {
        best = found;
      }
    }
    return best;
  }

  private static boolean isBetter(List<Eviction> evictions, List<Eviction> other) {
    int byTasks = Integer.compare(totalTasks(evictions), totalTasks(other));
    return byTasks > 0 || (byTasks == 0 && totalLoss(evictions) < totalLoss(other));
  }

  private static int totalTasks(List<Eviction> evictions) {
    return evictions.stream().mapToInt(Eviction::tasks).sum();
  }

  private static double totalLoss(List<Eviction> evictions) {
    return lossOf(evictions.stream().flatMap(e -> e.victims().stream()), new HashSet<>());
  }

  /** Sums the losses; each gang counts once, and gangs in {@code countedGangs} not at all. */
  private static double lossOf(Stream<Victim> victims, Set<String> countedGangs) {
    return victims
        .filter(v -> !v.isInGang() || countedGangs.add(v.gang))
        .mapToDouble(Victim::lossCpuS)
        .sum();
  }

  /** The victims and the loss that one more task on the machine would cost. */
  private record EvictionOption(
      CandidateMachine candidate, List<Victim> victimsToStop, double loss, int order)
      implements Comparable<EvictionOption> {
    @Override
    public int compareTo(EvictionOption other) {
      int byLoss = Double.compare(loss, other.loss);
      return byLoss != 0 ? byLoss : Integer.compare(order, other.order);
    }
  }
}
