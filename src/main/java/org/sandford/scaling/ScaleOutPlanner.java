package org.sandford.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.sandford.cloud.InstanceType;
import org.sandford.constants.PlacementConstants;
import org.sandford.constants.ScalingConstants;
import org.sandford.peer.wire.DemandClass;
import org.sandford.placement.CandidateMachine;
import org.sandford.placement.ResourceRequest;

/**
 * Plans which machines to provision for waiting tasks: fills the existing and expected machines
 * first and adds the cheapest machines for the remaining tasks. An instance makes one plan and does
 * no I/O.
 */
final class ScaleOutPlanner {
  /**
   * What may be provisioned at the moment of the plan.
   *
   * @param instanceTypes the instance types, by name
   * @param useSpot whether the operators allow spot machines
   * @param mayProvision whether a pool may be used now
   */
  record Market(
      Map<String, InstanceType> instanceTypes,
      boolean useSpot,
      Predicate<InstancePool> mayProvision) {}

  private final Market market;
  private final List<CandidateMachine> candidates;

  /**
   * CPUs by zone, including planned machines; of equal prices, the zone with fewer CPUs is used.
   */
  private final Map<String, Double> cpusByZone = new HashMap<>();

  private final Map<InstancePool, Integer> machinesByPool = new LinkedHashMap<>();
  private final Set<String> machinesForDemand = new HashSet<>();

  /** How many more machines the operators' limit allows. */
  private int remainingMachines;

  /** Creates a planner for one plan, which allocates resources from the candidates. */
  ScaleOutPlanner(Market market, List<CandidateMachine> candidates, int remainingMachines) {
    this.market = market;
    this.candidates = new ArrayList<>(candidates);
    this.remainingMachines = remainingMachines;
    // Fills machines in use first, so that idle ones can be decommissioned.
    this.candidates.sort(
        Comparator.comparingDouble(
            (CandidateMachine candidate) -> candidate.freeCpus / candidate.cpus));
    candidates.forEach(candidate -> cpusByZone.merge(candidate.zone, candidate.cpus, Double::sum));
  }

  /**
   * Returns how many machines of each pool to provision for the demand, which is ordered by rank.
   */
  Map<InstancePool, Integer> plan(List<DemandClass> demand) {
    demand.forEach(this::planFor);
    if (machinesByPool.isEmpty()) {
      addHeadroom();
    }
    return machinesByPool;
  }

  /** Returns the machines, existing or new, on which the demand was placed. */
  Set<String> machinesForDemand() {
    return machinesForDemand;
  }

  private void planFor(DemandClass demandClass) {
    ResourceRequest request = restrictToOneZone(request(demandClass), demandClass.tasks);
    int remainingTasks = demandClass.tasks - placeFirstFit(request, demandClass.tasks, candidates);
    while (remainingTasks > 0 && remainingMachines > 0) {
      InstancePool pool = cheapestPool(request, remainingTasks);
      if (pool == null) {
        return;
      }
      int placed = placeFirstFit(request, remainingTasks, List.of(addMachine(pool)));
      if (placed == 0) {
        return;
      }
      remainingTasks -= placed;
    }
  }

  /**
   * Adds on-demand machines until a share of the fleet is free on them, since the most urgent work
   * runs on no others.
   */
  private void addHeadroom() {
    double totalCpus = 0;
    double freeCpus = 0;
    for (CandidateMachine candidate : candidates) {
      totalCpus += candidate.cpus;
      freeCpus += candidate.spot ? 0 : Math.max(0, candidate.freeCpus);
    }
    ResourceRequest oneCpuRequest =
        new ResourceRequest(
            "", 0, 0, 1, 0, 1, Set.of(), "", false, false, false, false, false, 1, Map.of(),
            Set.of(), Set.of(), "");
    while (freeCpus < ScalingConstants.HEADROOM_SHARE * totalCpus && remainingMachines > 0) {
      InstancePool pool = cheapestPool(oneCpuRequest, ScalingConstants.HEADROOM_TASKS);
      if (pool == null) {
        return;
      }
      freeCpus += addMachine(pool).cpus;
    }
  }

  private static ResourceRequest request(DemandClass demandClass) {
    return new ResourceRequest(
        "",
        demandClass.rank,
        0,
        demandClass.cpus,
        demandClass.gpus,
        demandClass.ram,
        Set.copyOf(demandClass.instanceTypes),
        demandClass.zone,
        demandClass.spotAllowed,
        demandClass.sameZone,
        demandClass.spreadAcrossZones,
        demandClass.service,
        false,
        demandClass.total,
        demandClass.placedByZone,
        Set.of(),
        Set.of(),
        "");
  }

  /** Adds one machine of the pool to the plan and to the candidates. */
  private CandidateMachine addMachine(InstancePool pool) {
    CandidateMachine machine =
        pool.candidate(
            "new/" + remainingMachines--, market.instanceTypes().get(pool.instanceType()));
    machinesByPool.merge(pool, 1, Integer::sum);
    cpusByZone.merge(pool.zone(), machine.cpus, Double::sum);
    candidates.add(machine);
    return machine;
  }

  /**
   * Restricts the request of a job whose tasks must share a zone to one zone: that of its tasks, or
   * the one with the most free resources in which the rest can be provisioned. Machines provisioned
   * in other zones would stay idle.
   */
  private ResourceRequest restrictToOneZone(ResourceRequest request, int count) {
    if (!request.sameZone() || !request.zone().isEmpty()) {
      return request;
    }
    if (!request.tasksByZone().isEmpty()) {
      return request.restrictedToZone(request.tasksByZone().keySet().iterator().next());
    }
    Map<String, Integer> fittingByZone = new TreeMap<>();
    market
        .instanceTypes()
        .values()
        .forEach(instanceType -> instanceType.zones().forEach(zone -> fittingByZone.put(zone, 0)));
    for (CandidateMachine candidate : candidates) {
      if (request.allows(candidate)) {
        fittingByZone.merge(
            candidate.zone, Math.min(count, request.countFitting(candidate)), Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(fittingByZone.keySet());
    zones.sort(Comparator.comparingInt((String zone) -> -fittingByZone.get(zone)));
    for (String zone : zones) {
      int remainingTasks = count - fittingByZone.get(zone);
      if (remainingTasks <= 0
          || cheapestPool(request.restrictedToZone(zone), remainingTasks) != null) {
        return request.restrictedToZone(zone);
      }
    }
    return zones.isEmpty() ? request : request.restrictedToZone(zones.get(0));
  }

  /**
   * Places up to {@code count} tasks first fit and returns how many fit. No score is needed to find
   * out what to provision, so each machine is checked once for a whole class.
   */
  private int placeFirstFit(ResourceRequest request, int count, List<CandidateMachine> candidates) {
    Map<String, Integer> tasksByZone = new HashMap<>(request.tasksByZone());
    int remainingTasks = count;
    for (CandidateMachine candidate : candidates) {
      if (remainingTasks == 0) {
        break;
      }
      if (!request.allows(candidate)) {
        continue;
      }
      int maxTasks =
          Math.min(
              remainingTasks,
              request.maxTasksPerZone() - tasksByZone.getOrDefault(candidate.zone, 0));
      int tasks = Math.min(maxTasks, request.countFitting(candidate));
      if (tasks > 0) {
        candidate.allocate(tasks * request.cpus(), tasks * request.gpus(), tasks * request.ram());
        tasksByZone.merge(candidate.zone, tasks, Integer::sum);
        machinesForDemand.add(candidate.machine);
        remainingTasks -= tasks;
      }
    }
    return count - remainingTasks;
  }

  private InstancePool cheapestPool(ResourceRequest request, int remainingTasks) {
    InstancePool best = null;
    double bestPrice = 0;
    double bestZoneCpus = 0;
    for (InstanceType instanceType : market.instanceTypes().values()) {
      for (String zone : instanceType.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          InstancePool pool = new InstancePool(instanceType.name(), zone, spot);
          CandidateMachine candidate = pool.candidate("", instanceType);
          int fittingTasks = Math.min(remainingTasks, request.countFitting(candidate));
          boolean zoneFull =
              request.tasksByZone().getOrDefault(zone, 0) >= request.maxTasksPerZone();
          boolean suitable =
              request.allows(candidate)
                  && fittingTasks > 0
                  && !zoneFull
                  && (!spot || market.useSpot());
          if (!suitable || !market.mayProvision().test(pool)) {
            continue;
          }
          double price = instanceType.price(spot) / fittingTasks;
          double zoneCpus = cpusByZone.getOrDefault(zone, 0.0);
          boolean better =
              best == null
                  || price < bestPrice - PlacementConstants.RESOURCE_EPSILON
                  || (price < bestPrice + PlacementConstants.RESOURCE_EPSILON
                      && zoneCpus < bestZoneCpus);
          if (better) {
            best = pool;
            bestPrice = price;
            bestZoneCpus = zoneCpus;
          }
        }
      }
    }
    return best;
  }
}
