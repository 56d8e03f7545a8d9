package org.sandford.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sandford.Constants;

/**
 * Chooses whom to stop so that tasks find room: as little progress as can be, the lowest rank first.
 * Pure: who may be stopped at all is decided by the caller.
 */
public final class Preemption {
  /** A task that may be stopped. */
  public record Victim(
      String machine, String team, String job, int task, long attempt, int rank, double cpus, double gpus, double ram, double ageS) {
    double loss() {
      return cpus * ageS;
    }
  }

  /** What is stopped on one machine, and the room that is then kept there for the asking job. */
  public record Eviction(Room room, List<Victim> victims, int tasks) {}

  private Preemption() {}

  /**
   * Finds room for {@code count} tasks with the help of victims; null when it cannot be had. Free room
   * counts first. Nothing is taken from the rooms.
   */
  public static List<Eviction> choose(Need need, int count, Collection<Room> rooms, List<Victim> victims, boolean allOrNone) {
    Map<String, List<Victim>> byMachine = new HashMap<>();
    for (Victim v : victims) {
      byMachine.computeIfAbsent(v.machine, m -> new ArrayList<>()).add(v);
    }
    byMachine.values().forEach(
        list -> list.sort(Comparator.comparingInt((Victim v) -> -v.rank).thenComparingDouble(Victim::loss)));
    Map<String, Integer> zones = new HashMap<>(need.zonesHeld());
    Map<Room, double[]> free = new LinkedHashMap<>();
    for (Room room : rooms) {
      if (need.allows(room)) {
        free.put(room, new double[] {room.freeCpus, room.freeGpus, room.freeRam});
      }
    }
    Map<Room, Eviction> out = new LinkedHashMap<>();
    int left = count;
    String together = need.together() ? zones.keySet().stream().findFirst().orElse("") : "";
    while (left > 0) {
      Room best = null;
      List<Victim> bestStop = null;
      double bestLoss = Double.MAX_VALUE;
      for (Map.Entry<Room, double[]> e : free.entrySet()) {
        Room room = e.getKey();
        boolean zoneFits = zones.getOrDefault(room.zone, 0) < need.scatterLimit() && (together.isEmpty() || together.equals(room.zone));
        if (!zoneFits) {
          continue;
        }
        List<Victim> stop = enough(need, e.getValue(), byMachine.getOrDefault(room.machine, List.of()));
        if (stop == null) {
          continue;
        }
        double loss = stop.stream().mapToDouble(Victim::loss).sum();
        if (loss < bestLoss) {
          best = room;
          bestStop = stop;
          bestLoss = loss;
        }
      }
      if (best == null) {
        break;
      }
      double[] f = free.get(best);
      for (Victim v : bestStop) {
        f[0] += v.cpus;
        f[1] += v.gpus;
        f[2] += v.ram;
        byMachine.get(best.machine).remove(v);
      }
      f[0] -= need.cpus();
      f[1] -= need.gpus();
      f[2] -= need.ram();
      Eviction had = out.getOrDefault(best, new Eviction(best, List.of(), 0));
      List<Victim> all = new ArrayList<>(had.victims);
      all.addAll(bestStop);
      out.put(best, new Eviction(best, all, had.tasks + 1));
      zones.merge(best.zone, 1, Integer::sum);
      if (need.together()) {
        together = best.zone;
      }
      left--;
    }
    boolean useful = allOrNone ? left == 0 : left < count;
    return useful ? new ArrayList<>(out.values()) : null;
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
    return need.cpus() <= cpus + e && need.gpus() <= gpus + e && need.ram() <= ram + e ? stop : null;
  }
}
