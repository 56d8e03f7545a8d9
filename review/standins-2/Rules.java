package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checks the rules of PROTOCOL against what workers run and users are told. */
final class Rules {
  private record OnMachine(String machine, String zone, Job job, long attempt) {}

  private final Recorder record;
  private final Map<String, Double> teamLimits;
  private final double cancelS;
  private final Map<String, List<OnMachine>> byTask = new HashMap<>();
  private final Map<String, Double> usedByTeam = new HashMap<>();
  private final Map<String, Integer> broken = new LinkedHashMap<>();

  Rules(Recorder record, Map<String, Double> teamLimits, double cancelS) {
    this.record = record;
    this.teamLimits = teamLimits;
    this.cancelS = cancelS;
  }

  synchronized void breach(String rule, String what) {
    broken.merge(rule, 1, Integer::sum);
    record.write("BROKEN " + rule + ": " + what);
  }

  synchronized Map<String, Integer> broken() {
    return new LinkedHashMap<>(broken);
  }

  /** A task has its image, so it is on its machine from now on. */
  synchronized void onMachine(
      Job job, int task, long attempt, String machine, String zone, boolean spot) {
    String name = job.id + "/" + task;
    List<OnMachine> there = byTask.computeIfAbsent(name, n -> new ArrayList<>());
    for (OnMachine other : there) {
      breach("ran_twice", name + " starts on " + machine + " while on " + other.machine);
    }
    if (!job.reclaimable && spot) {
      breach("wrong_place", name + " on the spot machine " + machine);
    }
    if (job.site != null && !job.site.equals(zone)) {
      breach("wrong_place", name + " in zone " + zone);
    }
    int inZone = 1;
    for (int i = 0; i < job.pieces; i++) {
      for (OnMachine other : byTask.getOrDefault(job.id + "/" + i, List.of())) {
        inZone += other.zone.equals(zone) ? 1 : 0;
        if (job.together && !other.zone.equals(zone)) {
          breach("wrong_place", name + " in " + zone + ", another task in " + other.zone);
        }
      }
    }
    if (job.scatter && inZone > (job.pieces + 1) / 2) {
      breach("wrong_place", name + " is number " + inZone + " in zone " + zone);
    }
    if (job.cancelConfirmedAt != 0 && Recorder.now() - job.cancelConfirmedAt > cancelS * 1000) {
      breach("ran_cancelled", name + " starts on " + machine);
    }
    there.add(new OnMachine(machine, zone, job, attempt));
    if (job.firstStartAt == 0) {
      job.firstStartAt = Recorder.now();
    }
    double used = usedByTeam.merge(job.team, job.vcpus, Double::sum);
    if (used > teamLimits.getOrDefault(job.team, Double.MAX_VALUE) + 1e-3) {
      breach("quota", job.team + " uses " + used + " with " + name + " on " + machine);
    }
    record.write("on machine " + name + " try " + attempt + " " + machine);
  }

  synchronized void offMachine(Job job, int task, long attempt, String machine, String why) {
    List<OnMachine> there = byTask.getOrDefault(job.id + "/" + task, List.of());
    if (there.removeIf(o -> o.machine.equals(machine) && o.attempt == attempt)) {
      usedByTeam.merge(job.team, -job.vcpus, Double::sum);
      record.write("off machine " + job.id + "/" + task + " try " + attempt + " " + machine + " " + why);
    }
  }

  /** Returns how many tasks of the job are on machines. */
  synchronized int onMachines(Job job) {
    int count = 0;
    for (int i = 0; i < job.pieces; i++) {
      count += byTask.getOrDefault(job.id + "/" + i, List.of()).size();
    }
    return count;
  }

  /** Returns whether a task of the job is on the machine. */
  synchronized boolean isOn(Job job, String machine) {
    for (int i = 0; i < job.pieces; i++) {
      for (OnMachine there : byTask.getOrDefault(job.id + "/" + i, List.of())) {
        if (there.machine.equals(machine)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Checks that no task of a cancelled job is on a machine longer than allowed. */
  synchronized void checkCancelled() {
    long now = Recorder.now();
    byTask.forEach(
        (name, there) -> {
          for (OnMachine o : there) {
            long confirmed = o.job.cancelConfirmedAt;
            if (confirmed != 0 && now - confirmed > cancelS * 1000 + 200) {
              breach("ran_cancelled", name + " is on " + o.machine);
              o.job.cancelConfirmedAt = now;
            }
          }
        });
  }
}
