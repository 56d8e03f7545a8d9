package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays one scenario file: runs real controllers against a fake store, cloud and workers on a
 * simulated clock, carries out steps at set times and checks expectations. The rules are checked
 * throughout.
 */
final class Scenario {
  /** Jobs submitted in this many seconds before the end need not have started. */
  private static final double SERVED_GRACE_S = 60;

  private record GangAttempt(String job, long attempt) {}

  final Simulation simulation;
  final Rules rules;
  final FakeCloud cloud;
  final ScenarioScript script;
  final Map<String, FakeServer> servers = new HashMap<>();
  final Map<String, UserJob> submittedJobs = new TreeMap<>();
  final List<String> zones = new ArrayList<>(List.of("a", "b"));

  /** The CPUs that each team may use at once. */
  final Map<String, Double> teamMaxCpus = new LinkedHashMap<>();

  private final SimulatedControllers controllers;
  private final ScenarioUsers users;
  private final ScenarioSteps steps;
  private final ScenarioExpectations expectations;
  private final FaultMonitor faultMonitor;
  private final FreeCapacity freeCapacity;
  private final Map<String, FakeWorker> workers = new HashMap<>();
  private final Map<GangAttempt, FakeGang> gangs = new HashMap<>();

  Scenario(String name, List<String> lines) {
    this(name, lines, ScenarioScript.workerPeriods(lines).get(0));
  }

  Scenario(String name, List<String> lines, double[] workerPeriods) {
    script = new ScenarioScript(name, lines, workerPeriods);
    script.teams.values().forEach(team -> teamMaxCpus.put(team.name(), team.cpusMax()));
    simulation = new Simulation(script.seed);
    FakeStore store = new FakeStore(simulation, script.valueBytes, script.txnOps);
    cloud = new FakeCloud(simulation, this);
    rules = new Rules(simulation, this);
    servers.put("store", store);
    servers.put("cloud", cloud);
    freeCapacity = new FreeCapacity(cloud, teamMaxCpus);
    controllers = new SimulatedControllers(simulation, script, store, servers, zones);
    faultMonitor = new FaultMonitor(simulation, controllers, store, cloud);
    users = new ScenarioUsers(simulation, servers, submittedJobs, controllers, rules, faultMonitor);
    ScenarioHosts hosts =
        new ScenarioHosts(simulation, store, cloud, controllers, workers, this::absentWorker);
    cloud.isLeader = hosts::isLeader;
    steps = new ScenarioSteps(simulation, script, store, cloud, controllers, hosts, users);
    expectations = new ScenarioExpectations(cloud, store, rules, controllers, submittedJobs);
    HandoverFaults handoverFaults = new HandoverFaults(simulation, store, controllers);
    steps.register("handover_fault", handoverFaults::arm);
    steps.register("late_request", new LateRequests(store, controllers, hosts)::deliver);
    expectations.register("handover_faults", step -> handoverFaults.count());
    LostFrames lostFrames = new LostFrames(simulation);
    steps.register("lose_frame", lostFrames::loseNext);
    expectations.register("lost_frames", step -> lostFrames.count());
    steps.register("reset_counts", step -> expectations.resetCounts());
    steps.register("expect", expectations::check);
  }

  /** Plays the scenario and returns violations of rules and expectations that were not met. */
  List<String> play() {
    for (String zone : zones) {
      for (int i = 0; i < script.machinesAtStart; i++) {
        cloud.rent(zone, false, 0.01);
      }
    }
    controllers.labels().forEach(controllers::start);
    faultMonitor.start();
    for (ScenarioScript.Step step : script.steps) {
      simulation.runUntil(step.at());
      steps.execute(step);
    }
    simulation.runUntil(script.endS);
    rules.checkServed(SERVED_GRACE_S);
    List<String> failures = new ArrayList<>(simulation.violations);
    failures.addAll(expectations.failures());
    return failures;
  }

  FakeWorker bootWorker(FakeCloud.RentedMachine machine) {
    FakeWorker worker = new FakeWorker(simulation, this, machine);
    servers.put(machine.name, worker);
    workers.put(machine.name, worker);
    return worker;
  }

  private FakeWorker absentWorker(String machine) {
    return new FakeWorker(
        simulation,
        this,
        new FakeCloud.RentedMachine(machine, zones.get(0), false, simulation.now()));
  }

  /** Returns the gang attempt that the task belongs to. */
  FakeGang gangOf(FakeWorker.WorkerTask task) {
    return gangs.computeIfAbsent(
        new GangAttempt(task.job.id, task.attempt),
        attempt -> new FakeGang(simulation, this, task.job));
  }

  int random(int bound) {
    return simulation.random.nextInt(bound);
  }

  void onLastTaskDone(UserJob job) {
    users.onLastTaskDone(job);
  }

  long lastFaultAt() {
    return faultMonitor.lastFaultAt();
  }

  boolean hasCapacityFor(UserJob job) {
    return freeCapacity.hasCapacityFor(job);
  }
}
