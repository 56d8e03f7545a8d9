package org.sandford.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.sandford.constants.PlacementConstants;

/**
 * Bin packs the tasks of one job as described in docs/design.md: it filters the candidates by free
 * resources, scores them and builds a greedy plan. The tasks of a job are scored as one class and a
 * chosen machine takes as many as fit, so the cost of a plan grows with the number of machines, not
 * of tasks.
 *
 * <p>Except for {@link #scoredCandidates} it has no state: it reads the given candidates and
 * allocates the resources of a returned plan from them. Not thread-safe.
 */
public final class Planner {
  /** A number of tasks on one machine. */
  public record Allocation(CandidateMachine candidate, int tasks) {}

  /** A plan with its score; lower is better. */
  public record Plan(List<Allocation> allocations, double score, int tasks) {}

  /** Counts the scored candidates, so that tests can limit the cost of a plan. */
  private long scoredCandidates;

  /** Returns the number of candidates scored so far. */
  public long scoredCandidates() {
    return scoredCandidates;
  }

  /**
   * Plans up to {@code count} tasks, on the machines of this controller's shard first, unless the
   * request prefers a cached image. Allocates the resources of the plan from the candidates.
   *
   * @return the plan; null, with nothing allocated, when no task fits or, with {@code allOrNone},
   *     not every task fits
   */
  public Plan place(
      ResourceRequest request,
      int count,
      Collection<CandidateMachine> candidates,
      boolean allOrNone) {
    if (!request.sameZone()) {
      return commit(
          request, count, buildPlan(request, count, candidates, request.zone()), allOrNone);
    }
    Plan best = null;
    for (String zone : eligibleZones(request, candidates)) {
      Plan plan = buildPlan(request, count, candidates, zone);
      if (plan.tasks > 0
          && (best == null
              || plan.tasks > best.tasks
              || (plan.tasks == best.tasks && plan.score < best.score))) {
        best = plan;
      }
    }
    return commit(request, count, best, allOrNone);
  }

  /**
   * Returns an upper bound on the tasks that fit on the candidates, at most {@code limit};
   * spreading rules are ignored. The bound is far cheaper than a plan; when it is too low, no plan
   * need be tried.
   */
  public static int upperBound(
      ResourceRequest request, int limit, Collection<CandidateMachine> candidates) {
    int bound = 0;
    for (CandidateMachine candidate : candidates) {
      if (request.allows(candidate)) {
        bound += Math.min(limit, request.countFitting(candidate));
        if (bound >= limit) {
          return limit;
        }
      }
    }
    return bound;
  }

  /**
   * Returns the zones in which a job whose tasks must share a zone may be placed: the zone of its
   * tasks if it has any, else every zone. None if its tasks are in several zones.
   */
  private static Set<String> eligibleZones(
      ResourceRequest request, Collection<CandidateMachine> candidates) {
    Set<String> zonesInUse = new TreeSet<>();
    request
        .tasksByZone()
        .forEach(
            (zone, tasks) -> {
              if (tasks > 0) {
                zonesInUse.add(zone);
              }
            });
    if (!zonesInUse.isEmpty()) {
      return zonesInUse.size() == 1 ? zonesInUse : Set.of();
    }
    Set<String> zones = new TreeSet<>();
    candidates.forEach(candidate -> zones.add(candidate.zone));
    return zones;
  }

  private static Plan commit(ResourceRequest request, int count, Plan plan, boolean allOrNone) {
    if (plan == null || plan.tasks == 0 || (allOrNone && plan.tasks < count)) {
      return null;
    }
    for (Allocation allocation : plan.allocations) {
      allocation.candidate.allocate(
          request.cpus() * allocation.tasks,
          request.gpus() * allocation.tasks,
          request.ram() * allocation.tasks);
    }
    return plan;
  }

  /**
   * Builds a greedy plan for one zone, or for all when {@code zone} is empty; allocates no
   * resources.
   */
  private Plan buildPlan(
      ResourceRequest request, int count, Collection<CandidateMachine> candidates, String zone) {
    List<CandidateMachine> preferredCandidates = new ArrayList<>();
    List<CandidateMachine> otherCandidates = new ArrayList<>();
    for (CandidateMachine candidate : candidates) {
      if (request.allows(candidate)
          && (zone.isEmpty() || zone.equals(candidate.zone))
          && request.countFitting(candidate) > 0) {
        // A service or a gang starts sooner on a machine of another shard that has its image than
        // on one of this shard that lacks it.
        (candidate.ownedLocally || request.prefersCachedImage()
                ? preferredCandidates
                : otherCandidates)
            .add(candidate);
      }
    }
    PlanBuilder builder = new PlanBuilder(request, count);
    for (List<CandidateMachine> group : List.of(preferredCandidates, otherCandidates)) {
      if (request.service() || request.spreadAcrossZones()) {
        spread(builder, group);
      } else {
        pack(builder, group);
      }
    }
    return new Plan(builder.allocations, builder.score, count - builder.remainingTasks);
  }

  /** A plan that is being built. */
  private static final class PlanBuilder {
    final ResourceRequest request;
    final List<Allocation> allocations = new ArrayList<>();

    /** Tasks of the job by zone, including those of the plan. */
    final Map<String, Integer> tasksByZone;

    /** Machines that hold tasks of the job, including those of the plan. */
    final Set<String> machinesInUse;

    final Map<CandidateMachine, Integer> plannedTasks = new HashMap<>();
    double score;
    int remainingTasks;

    PlanBuilder(ResourceRequest request, int count) {
      this.request = request;
      this.remainingTasks = count;
      this.tasksByZone = new HashMap<>(request.tasksByZone());
      this.machinesInUse = new HashSet<>(request.machinesInUse());
    }

    int tasksInZone(CandidateMachine candidate) {
      return tasksByZone.getOrDefault(candidate.zone, 0);
    }

    /** Returns how many tasks fit on the machine in addition to those already planned there. */
    int countFitting(CandidateMachine candidate) {
      return request.countFitting(candidate) - plannedTasks.getOrDefault(candidate, 0);
    }

    double scoreOf(CandidateMachine candidate) {
      return Planner.score(
          request, candidate, tasksByZone, machinesInUse, plannedTasks.getOrDefault(candidate, 0));
    }

    void add(CandidateMachine candidate, int tasks, double allocationScore) {
      allocations.add(new Allocation(candidate, tasks));
      score += allocationScore;
      tasksByZone.merge(candidate.zone, tasks, Integer::sum);
      machinesInUse.add(candidate.machine);
      remainingTasks -= tasks;
    }
  }

  /**
   * Plans tasks without a spreading rule. A chosen machine takes all tasks that fit, so each
   * candidate is chosen at most once. The scores of the others change only when the plan gets its
   * first machine or a new zone, and are recomputed only then; otherwise a large array on a large
   * cluster would need a score of each machine for each allocation.
   */
  private void pack(PlanBuilder builder, List<CandidateMachine> candidates) {
    List<CandidateMachine> unusedCandidates = candidates;
    while (builder.remainingTasks > 0 && !unusedCandidates.isEmpty()) {
      PriorityQueue<ScoredCandidate> queue = rank(builder, unusedCandidates);
      boolean scoresValid = true;
      while (builder.remainingTasks > 0 && scoresValid && !queue.isEmpty()) {
        ScoredCandidate best = queue.poll();
        CandidateMachine candidate = best.candidate;
        boolean firstMachine = builder.machinesInUse.isEmpty();
        boolean newZone = builder.tasksInZone(candidate) == 0;
        scoresValid = !firstMachine && !newZone;
        int tasks = Math.min(builder.remainingTasks, builder.request.countFitting(candidate));
        builder.add(candidate, tasks, best.score);
      }
      List<ScoredCandidate> remaining = new ArrayList<>(queue);
      remaining.sort(Comparator.comparingInt(ScoredCandidate::order));
      unusedCandidates = remaining.stream().map(ScoredCandidate::candidate).toList();
    }
  }

  private PriorityQueue<ScoredCandidate> rank(
      PlanBuilder builder, List<CandidateMachine> candidates) {
    List<ScoredCandidate> ranked = new ArrayList<>(candidates.size());
    for (CandidateMachine candidate : candidates) {
      scoredCandidates++;
      double score =
          score(builder.request, candidate, builder.tasksByZone, builder.machinesInUse, 0);
      ranked.add(new ScoredCandidate(candidate, score, ranked.size()));
    }
    return new PriorityQueue<>(ranked);
  }

  /** A candidate with its score; of equal scores, the candidate listed earlier goes first. */
  private record ScoredCandidate(CandidateMachine candidate, double score, int order)
      implements Comparable<ScoredCandidate> {
    @Override
    public int compareTo(ScoredCandidate other) {
      int byScore = Double.compare(score, other.score);
      return byScore != 0 ? byScore : Integer.compare(order, other.order);
    }
  }

  /** Plans tasks that spread over zones: scores all candidates again for each allocation. */
  private void spread(PlanBuilder builder, List<CandidateMachine> candidates) {
    ResourceRequest request = builder.request;
    while (builder.remainingTasks > 0) {
      CandidateMachine best = null;
      double bestScore = 0;
      int bestPlacedInZone = 0;
      for (CandidateMachine candidate : candidates) {
        int placedInZone = builder.tasksInZone(candidate);
        if (placedInZone >= request.maxTasksPerZone() || builder.countFitting(candidate) <= 0) {
          continue;
        }
        scoredCandidates++;
        double score = builder.scoreOf(candidate);
        // Replicas are spread evenly over zones; the score decides only between equally loaded
        // zones.
        boolean compareByZone = request.service() && placedInZone != bestPlacedInZone;
        if (best == null || (compareByZone ? placedInZone < bestPlacedInZone : score < bestScore)) {
          best = candidate;
          bestScore = score;
          bestPlacedInZone = placedInZone;
        }
      }
      if (best == null) {
        return;
      }
      int maxTasks = Math.min(builder.remainingTasks, builder.countFitting(best));
      int tasks =
          request.service() ? 1 : Math.min(maxTasks, request.maxTasksPerZone() - bestPlacedInZone);
      builder.add(best, tasks, bestScore);
      builder.plannedTasks.merge(best, tasks, Integer::sum);
    }
  }

  /** Returns what one more task on the machine adds to the plan's score. */
  static double score(
      ResourceRequest request,
      CandidateMachine candidate,
      Map<String, Integer> tasksByZone,
      Set<String> machinesInUse,
      int plannedTasks) {
    double cost = 0;
    if (!machinesInUse.isEmpty() && !machinesInUse.contains(candidate.machine)) {
      cost += PlacementConstants.COST_EXTRA_MACHINE;
    }
    boolean zoneInUse = tasksByZone.getOrDefault(candidate.zone, 0) > 0;
    if (!request.service() && !machinesInUse.isEmpty() && !zoneInUse) {
      cost += PlacementConstants.COST_EXTRA_ZONE;
    }
    if (!candidate.images.contains(request.image())) {
      cost +=
          request.prefersCachedImage()
              ? PlacementConstants.COST_IMAGE_FETCH
              : PlacementConstants.COST_IMAGE_FETCH_ARRAY;
    }
    if (request.spotAllowed() && !candidate.spot) {
      cost += PlacementConstants.COST_ON_DEMAND;
    }
    boolean scoreByGpu = candidate.gpus > 0 && request.gpus() > 0;
    double total = scoreByGpu ? candidate.gpus : candidate.cpus;
    double requested = scoreByGpu ? request.gpus() : request.cpus();
    double used =
        scoreByGpu ? candidate.gpus - candidate.freeGpus : candidate.cpus - candidate.freeCpus;
    double fitness = total <= 0 ? 0 : -(requested * (plannedTasks + 1) + used) / total;
    return PlacementConstants.COST_WEIGHT * cost + (1 - PlacementConstants.COST_WEIGHT) * fitness;
  }
}
