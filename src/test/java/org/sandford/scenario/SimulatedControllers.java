package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.sandford.controller.Controller;
import org.sandford.machine.MachineSnapshots;
import org.sandford.settings.Settings;

/** Runs the real controllers of a scenario as processes that start, crash and freeze. */
final class SimulatedControllers {
  private final Simulation simulation;
  private final ScenarioScript script;
  private final FakeStore store;
  private final Map<String, FakeServer> servers;
  private final List<String> zones;
  private final Map<String, SimulatedPeerTransport> peers = new HashMap<>();
  private final Map<String, Simulation.ProcessLoop> processes = new TreeMap<>();
  private final Map<String, Controller> running = new TreeMap<>();

  /** Whether processes that start now run this version instead of the production version. */
  private boolean upgraded;

  SimulatedControllers(
      Simulation simulation,
      ScenarioScript script,
      FakeStore store,
      Map<String, FakeServer> servers,
      List<String> zones) {
    this.simulation = simulation;
    this.script = script;
    this.store = store;
    this.servers = servers;
    this.zones = zones;
    this.upgraded = !script.startsWithProductionVersion;
  }

  void upgrade() {
    upgraded = true;
  }

  /** Returns the labels of all configured controllers, including those that are down. */
  List<String> labels() {
    List<String> labels = new ArrayList<>();
    for (int i = 0; i < script.controllers; i++) {
      labels.add("c" + i);
    }
    return labels;
  }

  String zoneOf(int index) {
    return zones.get(index % 2);
  }

  boolean isRunning(String label) {
    return running.containsKey(label);
  }

  boolean allRunning() {
    return running.size() == script.controllers;
  }

  Set<String> runningLabels() {
    return running.keySet();
  }

  /** Returns a running controller chosen at random, or c0 if none runs. */
  String anyRunning() {
    List<String> labels = new ArrayList<>(running.keySet());
    return labels.isEmpty() ? "c0" : labels.get(simulation.random.nextInt(labels.size()));
  }

  boolean anyFrozen() {
    return processes.values().stream().anyMatch(Simulation.ProcessLoop::frozen);
  }

  /** Delivers a request of another controller, as if a link had held it back until now. */
  void deliverRequest(String sender, String receiver, Object request) {
    processes
        .get(receiver)
        .whenAwake(() -> running.get(receiver).handleRequest(sender, request, reply -> {}));
  }

  void freeze(String label, double seconds) {
    processes.get(label).freeze(seconds);
  }

  /** Sums a counter over the running controllers. */
  long sum(ToLongFunction<MachineSnapshots> counter) {
    return running.values().stream()
        .mapToLong(controller -> counter.applyAsLong(controller.machineSnapshots()))
        .sum();
  }

  void crash(String label) {
    processes.get(label).alive = false;
    running.remove(label);
    simulation.setDead(label, true);
  }

  void start(String label) {
    int index = Integer.parseInt(label.substring(1));
    store.setUnversioned(label, !upgraded);
    Settings settings = settings(label, index);
    Simulation.ProcessLoop loop = simulation.new ProcessLoop((index - 1) * 0.0004);
    Controller controller =
        new Controller(
            loop,
            settings,
            new SimulatedHttpTransport(simulation, loop, label, servers),
            new SimulatedPeerTransport(simulation, loop, label, peers));
    processes.put(label, loop);
    running.put(label, controller);
    simulation.setDead(label, false);
    servers.put(
        label,
        (from, method, path, body, respond) ->
            loop.whenAwake(
                () ->
                    controller
                        .api()
                        .handle(
                            method,
                            path,
                            body,
                            answer ->
                                respond.accept(
                                    new FakeServer.Response(answer.status(), answer.body())))));
    loop.execute(controller::start);
  }

  private Settings settings(String label, int index) {
    List<Settings.Peer> others = new ArrayList<>();
    for (int i = 0; i < script.controllers; i++) {
      if (i != index) {
        others.add(new Settings.Peer("c" + i, zoneOf(i), new Settings.Endpoint("c" + i, 81)));
      }
    }
    return new Settings(
        label,
        zoneOf(index),
        new Settings.Endpoint(label, 80),
        new Settings.Endpoint(label, 81),
        others,
        new Settings.Endpoint("cloud", 1),
        new Settings.Endpoint("store", 1),
        facts(),
        new Settings.Operators(1_000, true, 30));
  }

  private Settings.Facts facts() {
    // The production version knows only the present limits.
    boolean knowsNextLimits = upgraded && script.nextValueBytes > 0;
    int valueBytes =
        knowsNextLimits ? Math.min(script.valueBytes, script.nextValueBytes) : script.valueBytes;
    int txnOps = knowsNextLimits ? Math.min(script.txnOps, script.nextTxnOps) : script.txnOps;
    return new Settings.Facts(
        zones,
        script.teams,
        script.reportS,
        script.leaseS,
        script.cancelS,
        script.gangWaitS,
        script.gangPeerS,
        250,
        script.writeRps,
        valueBytes,
        txnOps,
        script.cloudRps,
        5,
        500,
        script.controllers);
  }
}
