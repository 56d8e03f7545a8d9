package org.sandford.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.sandford.peer.wire.AcknowledgeExit;
import org.sandford.peer.wire.CancellationsRequest;
import org.sandford.peer.wire.CancellationsResponse;
import org.sandford.peer.wire.ClaimReply;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.peer.wire.ForwardedResponse;
import org.sandford.peer.wire.HandOverTeam;
import org.sandford.peer.wire.MachineDiscovered;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartReply;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.StopTask;
import org.sandford.peer.wire.TeamHandedOver;

/**
 * Generates the lines of a scenario with a small cluster in which two or three faults overlap at
 * random times. The same seed always generates the same lines, so a seed that broke a rule can be
 * kept as a scenario file.
 */
final class RandomFaultCombinations {
  /** The periods of heartbeats, leases and cancellations, in seconds. */
  private static final double[][] WORKER_PERIODS = {{2, 16, 46}, {4, 22, 52}, {5, 26, 56}};

  private static final double FAULTS_FROM_S = 15;
  private static final double FAULTS_UNTIL_S = 150;
  private static final double END_S = 330;

  /** The steps that start and end each fault that makes a machine unreachable. */
  private static final String[][] MACHINE_FAULTS = {
    {"hang", "resume"},
    {"block_heartbeats", "unblock_heartbeats"},
    {"drop_inbound", "restore_inbound"}
  };

  /** The controllers that may crash. */
  private static final String[] CRASH_TARGETS = {
    "team_owner:red", "team_owner:blue", "machine_owner:m:0", "machine_owner:m:1", "leader", "all"
  };

  /** Keeps these random numbers independent of those that generate the base scenario. */
  private static final long FREQUENT_POLLS_SALT = 0x9E3779B97F4A7C15L;

  private static final long LOST_MESSAGES_SALT = 0xC2B2AE3D27D4EB4FL;

  /** The messages whose sender or receiver waits for their effect. */
  private static final List<Class<?>> LOSABLE_MESSAGES =
      List.of(
          HandOverTeam.class,
          TeamHandedOver.class,
          ClaimTeam.class,
          ClaimReply.class,
          StartTask.class,
          StartReply.class,
          StopTask.class,
          AcknowledgeExit.class,
          Preempt.class,
          SnapshotUpdate.class,
          DrainMachine.class,
          DecommissionMachine.class,
          MachineDiscovered.class,
          ForwardedRequest.class,
          ForwardedResponse.class,
          CancellationsRequest.class,
          CancellationsResponse.class);

  private static final List<String> FURTHER_TEAMS = List.of("green", "white", "black", "gray");

  private static final String[] HANDOVER_FAULTS = {
    "write_lost", "write_applied", "write_late 1.5", "write_late 6"
  };

  private final Random random;
  private final List<double[]> times = new ArrayList<>();
  private final List<String> steps = new ArrayList<>();
  private int machines;

  private RandomFaultCombinations(long seed) {
    random = new Random(seed);
  }

  static List<String> generate(long seed) {
    return new RandomFaultCombinations(seed).generateLines(seed);
  }

  /**
   * Generates the scenario of {@link #generate} with frequent polls by users, while the store's
   * watches and answers to transactions are slow or lost. These values come from a generator of
   * their own.
   */
  static List<String> generateWithFrequentPolls(long seed) {
    Random ownRandom = new Random(seed * FREQUENT_POLLS_SALT);
    List<String> lines = new ArrayList<>(generate(seed));
    lines.add("at 2 frequent_polls on");
    lines.add("at 2 watch_delay all " + (50 + ownRandom.nextInt(400)));
    lines.add("at 2 commit_delay " + (50 + ownRandom.nextInt(400)));
    lines.add("at 2 lost_answers " + ownRandom.nextInt(40));
    lines.add("at " + FAULTS_UNTIL_S + " clear_watch_delays");
    lines.add("at " + FAULTS_UNTIL_S + " commit_delay 0");
    lines.add("at " + FAULTS_UNTIL_S + " lost_answers 0");
    return sortedByTime(lines);
  }

  /**
   * Generates the scenario of {@link #generate} with more teams, so that controllers that return
   * are given some of them. Messages between controllers are lost with their link, and leaders end
   * as they write the next owner of a handed over team.
   */
  static List<String> generateWithLostMessages(long seed) {
    Random ownRandom = new Random(seed * LOST_MESSAGES_SALT);
    List<String> lines = new ArrayList<>(generate(seed));
    for (String team : FURTHER_TEAMS) {
      lines.add("team " + team + " 2 8");
      String job = " team=" + team + " tasks=2 run_s=" + (5 + ownRandom.nextInt(30));
      for (int number = 0; number < 2; number++) {
        String id = "wk-" + (400 + 10 * FURTHER_TEAMS.indexOf(team) + number);
        lines.add(formatStep(5 + ownRandom.nextDouble() * 160, "submit " + id + job));
      }
    }
    for (double at = 4; at < FAULTS_UNTIL_S; at += 2 + ownRandom.nextInt(10)) {
      Class<?> message = LOSABLE_MESSAGES.get(ownRandom.nextInt(LOSABLE_MESSAGES.size()));
      lines.add(formatStep(at, "lose_frame " + message.getSimpleName()));
    }
    for (int fault = 0; fault < 3; fault++) {
      double at = 4 + ownRandom.nextDouble() * (FAULTS_UNTIL_S - 10);
      String kind = HANDOVER_FAULTS[ownRandom.nextInt(HANDOVER_FAULTS.length)];
      lines.add(formatStep(at, "handover_fault " + kind));
      lines.add(formatStep(at + 5, "start all"));
    }
    lines.add(formatStep(FAULTS_UNTIL_S, "lose_frame none"));
    lines.add(formatStep(FAULTS_UNTIL_S, "handover_fault none"));
    return sortedByTime(lines);
  }

  /**
   * Generates a scenario in which teams at their limit change owners while their jobs are cancelled
   * and machines hang, receive nothing or reach no controller for less than their lease. The
   * numbers of affected machines and controllers are drawn again in each iteration, so small ones
   * are likelier.
   */
  static List<String> generateAtTeamLimit(long seed) {
    Random ownRandom = new Random(seed);
    double[] periods = WORKER_PERIODS[ownRandom.nextInt(WORKER_PERIODS.length)];
    double at = 12 + ownRandom.nextDouble() * 3;
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT, "worker_periods %.0f %.0f %.0f", periods[0], periods[1], periods[2]));
    lines.addAll(List.of("seed " + seed, "team red 8 8", "team blue 8 16", "machines 2"));
    lines.addAll(List.of("pool_size 8", "until 260"));
    lines.add(
        "at 3 submit wk-1 cpus="
            + (ownRandom.nextBoolean() ? "1 tasks=8" : "4 tasks=2")
            + " run_s=300");
    lines.add("at 3 submit wk-2 team=blue tasks=8 cpus=2 run_s=300");
    for (int machine = 0; machine < 1 + ownRandom.nextInt(3); machine++) {
      String[] fault = MACHINE_FAULTS[ownRandom.nextInt(MACHINE_FAULTS.length)];
      lines.add(formatStep(at + ownRandom.nextDouble(), fault[0] + " m:" + machine));
      lines.add(
          formatStep(
              at + 2 + ownRandom.nextDouble() * (periods[1] - 4), fault[1] + " m:" + machine));
    }
    lines.add(formatStep(at + ownRandom.nextDouble() * 4, "abort wk-1"));
    lines.add(formatStep(at + ownRandom.nextDouble() * 4, "abort wk-2"));
    for (int crash = 0; crash < 1 + ownRandom.nextInt(2); crash++) {
      String target = CRASH_TARGETS[ownRandom.nextInt(CRASH_TARGETS.length)];
      lines.add(formatStep(at + ownRandom.nextDouble() * 6, "crash " + target));
    }
    lines.add(formatStep(at + 6 + ownRandom.nextDouble() * 6, "start all"));
    lines.add(formatStep(at + 4 + ownRandom.nextDouble() * 6, "outage cloud on"));
    lines.add("at 70 outage cloud off");
    for (int job = 0; job < 8; job++) {
      String team = ownRandom.nextBoolean() ? "red" : "blue";
      String submit =
          "submit wk-1" + job + " team=" + team + " tasks=" + (1 + ownRandom.nextInt(4));
      lines.add(formatStep(at + ownRandom.nextDouble() * 25, submit + " run_s=15"));
    }
    return sortedByTime(lines);
  }

  private static String formatStep(double at, String step) {
    return String.format(Locale.ROOT, "at %.2f %s", at, step);
  }

  /** Returns the settings first, then the steps in order of time. */
  private static List<String> sortedByTime(List<String> lines) {
    List<String> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparingDouble(RandomFaultCombinations::timeOf));
    return sorted;
  }

  private static double timeOf(String line) {
    return line.startsWith("at ") ? Double.parseDouble(line.split(" ", -1)[1]) : -1;
  }

  private List<String> generateLines(long seed) {
    List<String> lines = new ArrayList<>();
    double[] periods = WORKER_PERIODS[random.nextInt(WORKER_PERIODS.length)];
    lines.add(
        String.format(
            Locale.ROOT, "worker_periods %.0f %.0f %.0f", periods[0], periods[1], periods[2]));
    machines = 2 + random.nextInt(2);
    lines.add("seed " + seed);
    lines.add("machines " + machines);
    lines.add("pool_size " + (machines + random.nextInt(5)));
    lines.add("team red 8 " + (16 + 8 * random.nextInt(3)));
    lines.add("team blue 8 32");
    lines.add("until " + END_S);
    int jobs = 6 + random.nextInt(5);
    for (int i = 0; i < jobs; i++) {
      addJob(i);
    }
    int faults = 2 + random.nextInt(2);
    double at = randomBetween(FAULTS_FROM_S, FAULTS_UNTIL_S - 60);
    for (int i = 0; i < faults; i++) {
      addFault(Math.min(FAULTS_UNTIL_S - 30, at + randomBetween(0, 15) * i), periods);
    }
    addGangs(seed);
    // Starts every controller that is still down.
    addStep(FAULTS_UNTIL_S + 10, "start all");
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      order.add(i);
    }
    order.sort((a, b) -> Double.compare(times.get(a)[0], times.get(b)[0]));
    for (int i : order) {
      lines.add(String.format(Locale.ROOT, "at %.2f %s", times.get(i)[0], steps.get(i)));
    }
    return lines;
  }

  /**
   * Adds gangs, drawn from a generator of their own, so that the other lines of a seed stay as they
   * were before gangs were added.
   */
  private void addGangs(long seed) {
    Random ownRandom = new Random(~seed);
    int gangs = 1 + ownRandom.nextInt(2);
    for (int i = 0; i < gangs; i++) {
      String id = "wk-" + (300 + i);
      double at = 3 + ownRandom.nextDouble() * 140;
      StringBuilder step = new StringBuilder("submit ").append(id).append(" gang");
      step.append(ownRandom.nextBoolean() ? " team=red" : " team=blue");
      step.append(" tasks=")
          .append(2 + ownRandom.nextInt(4))
          .append(" cpus=")
          .append(1 + ownRandom.nextInt(2));
      step.append(" run_s=")
          .append(5 + ownRandom.nextInt(50))
          .append(ownRandom.nextBoolean() ? " together" : "");
      step.append(ownRandom.nextBoolean() ? " checkpoint_interval_s=10" : "")
          .append(ownRandom.nextInt(3) == 0 ? " rank=urgent" : "");
      addStep(at, step.toString());
      if (ownRandom.nextInt(4) == 0) {
        addStep(at + 1 + ownRandom.nextDouble() * 30, "abort " + id);
      }
    }
  }

  private double randomBetween(double from, double to) {
    return from + random.nextDouble() * (to - from);
  }

  private void addStep(double at, String step) {
    times.add(new double[] {at});
    steps.add(step);
  }

  private void addJob(int number) {
    String id = "wk-" + (100 + number);
    String team = random.nextBoolean() ? "red" : "blue";
    double at = number < 4 ? 3 : randomBetween(3, 160);
    StringBuilder step = new StringBuilder("submit ").append(id).append(" team=").append(team);
    int tasks = 1 + random.nextInt(6);
    step.append(" tasks=").append(tasks).append(" cpus=").append(1 + random.nextInt(2));
    if (random.nextInt(3) == 0) {
      step.append(" standing rank=production");
      step.append(random.nextBoolean() ? " scatter" : " together");
    } else {
      step.append(" run_s=")
          .append(2 + random.nextInt(20))
          .append('/')
          .append(5 + random.nextInt(90));
      step.append(random.nextInt(4) == 0 ? " together" : "")
          .append(random.nextInt(3) == 0 ? " rank=urgent" : "");
    }
    addStep(at, step.toString());
    if (random.nextInt(3) == 0) {
      addStep(Math.max(at + 1, randomBetween(10, 150)), "abort " + id);
    }
  }

  private String randomMachine() {
    return "m:" + random.nextInt(2 * machines);
  }

  private void addFault(double at, double[] periods) {
    double lease = periods[1];
    switch (random.nextInt(16)) {
      case 0 -> addFaultSteps(at, randomBetween(2, 20), "refuse leader", "accept refused");
      case 1 ->
          addFaultSteps(
              at, randomBetween(5, periods[2] + 15), "outage store on", "outage store off");
      case 2 -> addFaultSteps(at, randomBetween(0.1, 8), "crash leader", "start all");
      case 3 -> addFaultSteps(at, randomBetween(0.1, lease + 10), "crash all", "start all");
      case 4 -> {
        for (int i = 0; i < 4; i++) {
          addFaultSteps(at + 12 * i, randomBetween(0.1, 6), "crash leader", "start all");
        }
      }
      case 5 -> {
        String machine = randomMachine();
        addFaultSteps(at, randomBetween(1, lease + 10), "hang " + machine, "resume " + machine);
      }
      case 6 -> {
        String machine = randomMachine();
        addFaultSteps(
            at,
            randomBetween(3, lease + 20),
            "block_heartbeats " + machine,
            "unblock_heartbeats " + machine);
      }
      case 7 -> {
        String machine = randomMachine();
        addFaultSteps(
            at,
            randomBetween(3, lease + 20),
            "drop_inbound " + machine,
            "restore_inbound " + machine);
      }
      case 8 -> {
        String machine = randomMachine();
        addFaultSteps(
            at,
            randomBetween(1, lease + 20),
            "cut " + machine + " * hold",
            "heal " + machine + " *");
      }
      case 9 ->
          addFaultSteps(
              at,
              randomBetween(5, lease + 25),
              "isolate_zone " + (random.nextBoolean() ? "a" : "b"),
              "rejoin_zone");
      case 10 -> addFaultSteps(at, randomBetween(10, 50), "late_writes 30", "late_writes 0");
      case 11 ->
          addFaultSteps(at, randomBetween(10, 60), "late_heartbeats on", "late_heartbeats off");
      case 12 -> addFaultSteps(at, randomBetween(10, 40), "answer_delay 1000", "answer_delay 0");
      case 13 -> {
        String c = "c" + random.nextInt(3);
        double length = randomBetween(4, periods[2]);
        addFaultSteps(at, length, "cut " + c + " store lose", "heal " + c + " store");
        for (int i = 0; i < 3; i++) {
          if (!c.equals("c" + i)) {
            addFaultSteps(at, length, "cut " + c + " c" + i + " hold", "heal " + c + " c" + i);
          }
        }
      }
      case 14 -> addFaultSteps(at, randomBetween(20, 60), "cancel_at_end on", "cancel_at_end off");
      default -> {
        addFaultSteps(at, randomBetween(10, 60), "invalid_requests on", "invalid_requests off");
        addFaultSteps(at + 1, randomBetween(10, 60), "duplicates on 40", "duplicates off");
      }
    }
  }

  private void addFaultSteps(double from, double length, String startStep, String endStep) {
    addStep(from, startStep);
    addStep(Math.min(FAULTS_UNTIL_S, from + length), endStep);
  }
}
