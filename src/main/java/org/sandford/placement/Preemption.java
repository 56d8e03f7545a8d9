package org.sandford.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.sandford.Constants;

/**
 * Chooses whom to stop so that tasks find room: as little progress as can be, the lowest rank
 * first. Pure: who may be stopped at all is decided by the caller.
 */
public final class Preemption {
  /**
   * A task that may be stopped.
   *
   * @param lossCpuS the processor seconds of work that are lost with it; for a task of a gang,
   *     those of the whole gang, whose other tasks stop with it
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
      double lossCpuS) {
    /** The same task as one of a gang that loses so much. */
    public Victim losing(double gangLossCpuS) {
      return new Victim(machine, team, job, task, attempt, rank, cpus, gpus, ram, gangLossCpuS);
    }
  }

  /** What is stopped on one machine, and the room that is then kept there for the asking job. */
  public record Eviction(Room room, List<Victim> victims, int tasks) {}

  private Preemption() {}

  /**
   * Finds room for {@code count} tasks with the help of victims; null when it cannot be had. Free
   * room counts first. Nothing is taken from the rooms.
   */
  public static List<Eviction> choose(
      Need need, int count, Collection<Room> rooms, List<Victim> victims, boolean allOrNone) {
    if (need.together() && need.zone().isEmpty() && need.zonesHeld().isEmpty()) {
      return cheapestZone(need, count, rooms, victims, allOrNone);
    }
    Map<String, List<Victim>> byMachine = new HashMap<>();
    for (Victim v : victims) {
      byMachine.computeIfAbsent(v.machine, m -> new ArrayList<>()).add(v);
    }
    byMachine
        .values()
        .forEach(
            list ->
                list.sort(
                    Comparator.comparingInt((Victim v) -> -v.rank)
                        .thenComparingDouble(Victim::lossCpuS)));
    Map<String, Integer> zones = new HashMap<>(need.zonesHeld());
    Map<Room, double[]> free = new LinkedHashMap<>();
    for (Room room : rooms) {
      if (need.allows(room)) {
        double[] from = room.keptFrom(need);
        // What is kept for the job counts as free, even while those who were stopped for it still
        // leave:
        // otherwise others would be stopped once more.
        double[] own = room.keptFor(need);
        free.put(
            room,
            new double[] {
              Math.max(own[0], room.freeCpus - from[0]),
              Math.max(own[1], room.freeGpus - from[1]),
              Math.max(own[2], room.freeRam - from[2])
            });
      }
    }
    // Only a machine that was chosen changes, so the others' offers are worked out once.
    PriorityQueue<Offer> offers = new PriorityQueue<>();
    int order = 0;
    for (Map.Entry<Room, double[]> e : free.entrySet()) {
      offer(need, e.getKey(), e.getValue(), byMachine, order++, offers);
    }
    Map<Room, Eviction> out = new LinkedHashMap<>();
    int left = count;
    String together = need.together() ? zones.keySet().stream().findFirst().orElse("") : "";
    while (left > 0 && !offers.isEmpty()) {
      Offer best = offers.poll();
      Room room = best.room;
      boolean zoneFits =
          zones.getOrDefault(room.zone, 0) < need.scatterLimit()
              && (together.isEmpty() || together.equals(room.zone));
      if (!zoneFits) {
        continue;
      }
      double[] f = free.get(room);
      for (Victim v : best.stop) {
        f[0] += v.cpus;
        f[1] += v.gpus;
        f[2] += v.ram;
        byMachine.get(room.machine).remove(v);
      }
      f[0] -= need.cpus();
      f[1] -= need.gpus();
      f[2] -= need.ram();
      Eviction had = out.getOrDefault(room, new Eviction(room, List.of(), 0));
      List<Victim> all = new ArrayList<>(had.victims);
      all.addAll(best.stop);
      out.put(room, new Eviction(room, all, had.tasks + 1));
      zones.merge(room.zone, 1, Integer::sum);
      if (need.together()) {
        together = room.zone;
      }
      left--;
      offer(need, room, f, byMachine, best.order, offers);
    }
    boolean useful = allOrNone ? left == 0 : left < count;
    return useful ? new ArrayList<>(out.values()) : null;
  }

  /**
   * Tries each zone by itself: the zone of the cheapest first victim may have no room for the rest.
   */
  private static List<Eviction> cheapestZone(
      Need need, int count, Collection<Room> rooms, List<Victim> victims, boolean allOrNone) {
    List<Eviction> best = null;
    for (String zone : rooms.stream().map(room -> room.zone).distinct().sorted().toList()) {
      List<Eviction> found = choose(need.in(zone), count, rooms, victims, allOrNone);
      if (found != null && (best == null || isBetter(found, best))) {
        best = found;
      }
    }
    return best;
  }

  private static boolean isBetter(List<Eviction> one, List<Eviction> other) {
    int byTasks = Integer.compare(tasks(one), tasks(other));
    return byTasks > 0 || (byTasks == 0 && loss(one) < loss(other));
  }

  private static int tasks(List<Eviction> evictions) {
    return evictions.stream().mapToInt(Eviction::tasks).sum();
  }

  private static double loss(List<Eviction> evictions) {
    return evictions.stream()
        .flatMap(e -> e.victims().stream())
        .mapToDouble(Victim::lossCpuS)
        .sum();
  }

  /** What one more task on this machine would cost. */
  private record Offer(Room room, List<Victim> stop, double loss, int order)
      implements Comparable<Offer> {
    @Override
    public int compareTo(Offer other) {
      int byLoss = Double.compare(loss, other.loss);
      return byLoss != 0 ? byLoss : Integer.compare(order, other.order);
    }
  }

  private static void offer(
      Need need,
      Room room,
      double[] free,
      Map<String, List<Victim>> byMachine,
      int order,
      PriorityQueue<Offer> offers) {
    List<Victim> stop = enough(need, free, byMachine.getOrDefault(room.machine, List.of()));
    if (stop != null) {
      offers.add(new Offer(room, stop, stop.stream().mapToDouble(Victim::lossCpuS).sum(), order));
    }
  }

  /** The first victims that make room for one task, or null. */
  private static List<Victim> enough(Need need, double[] free, List<Victim> victims) {
    double cpus = free[0];
    double gpus = free[1];
    double ram = free[2];
    List<Victim> stop = new ArrayList<>();
    double e = Constants.EPSILON;
    for (Victim v : victims) {
      if (need.cpus() <= cpus + e && need.gpus() <= gpus + e && need.ram() <= ram + e) {
        return stop;
      }
      stop.add(v);
      cpus += v.cpus;
      gpus += v.gpus;
      ram += v.ram;
    }
    return need.cpus() <= cpus + e && need.gpus() <= gpus + e && need.ram() <= ram + e
        ? stop
        : null;
  }
}
