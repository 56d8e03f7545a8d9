package org.sandford.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Carries out the steps of scenarios by their verb: actions of users and faults of the cluster. */
final class ScenarioSteps {
  private final Simulation simulation;
  private final ScenarioScript script;
  private final FakeStore store;
  private final FakeCloud cloud;
  private final SimulatedControllers controllers;
  private final ScenarioHosts hosts;
  private final ScenarioUsers users;
  private final Map<String, Consumer<ScenarioScript.Step>> steps = new HashMap<>();
  private FakeWorker lastHung;
  private String lastRefused = "";

  ScenarioSteps(
      Simulation simulation,
      ScenarioScript script,
      FakeStore store,
      FakeCloud cloud,
      SimulatedControllers controllers,
      ScenarioHosts hosts,
      ScenarioUsers users) {
    this.simulation = simulation;
    this.script = script;
    this.store = store;
    this.cloud = cloud;
    this.controllers = controllers;
    this.hosts = hosts;
    this.users = users;
    registerUsers();
    registerControllers();
    registerNetwork();
    registerStoreAndCloud();
    registerMachines();
  }

  /** Registers a verb and the action that carries it out. */
  void register(String verb, Consumer<ScenarioScript.Step> step) {
    steps.put(verb, step);
  }

  void execute(ScenarioScript.Step step) {
    Consumer<ScenarioScript.Step> action = steps.get(step.verb());
    if (action == null) {
      throw step.syntaxError();
    }
    action.accept(step);
  }

  private void registerUsers() {
    register("submit", step -> users.submit(step.word(1), options(step.words(), 2)));
    register("resubmit", step -> users.resubmit(step.word(1)));
    register("abort", step -> users.cancel(step.word(1), controllerOrAny(step, 2)));
    register("poll", step -> users.poll(step.word(1), controllers.anyRunning()));
    register("cancel_at_end", step -> users.setCancelAtEnd(step.isOn(1)));
    register("frequent_polls", step -> users.setFrequentPolling(step.isOn(1)));
    register("invalid_requests", step -> users.setInvalidRequests(step.isOn(1)));
  }

  private void registerControllers() {
    register("crash", step -> hosts.controllers(step.word(1)).forEach(controllers::crash));
    register(
        "start",
        step ->
            hosts.controllers(step.word(1)).stream()
                .filter(label -> !controllers.isRunning(label))
                .forEach(controllers::start));
    register(
        "freeze", step -> controllers.freeze(hosts.controller(step.word(1)), step.doubleAt(2)));
    register("upgrade", step -> controllers.upgrade());
  }

  private void registerNetwork() {
    register(
        "cut",
        step -> simulation.cut(hosts.host(step.word(1)), hosts.host(step.word(2)), cutMode(step)));
    register("heal", step -> simulation.heal(hosts.host(step.word(1)), hosts.host(step.word(2))));
    register(
        "cut_zone",
        step ->
            hosts
                .machinesInZone(step.word(1))
                .forEach(host -> simulation.cut(host, "*", Simulation.CutMode.HOLD)));
    register(
        "heal_zone",
        step -> hosts.machinesInZone(step.word(1)).forEach(host -> simulation.heal(host, "*")));
    register(
        "drop_inbound",
        step -> simulation.cutOneWay("*", hosts.host(step.word(1)), Simulation.CutMode.LOSE));
    register("restore_inbound", step -> simulation.heal("*", hosts.host(step.word(1))));
    register("isolate_zone", step -> simulation.isolate(hosts.hostsInZone(step.word(1))));
    register("rejoin_zone", step -> simulation.isolate(Set.of()));
    register("message_delay", step -> simulation.messageDelayMs = step.intAt(1));
    register("late_heartbeats", step -> simulation.lateHeartbeats = step.isOn(1));
    register("duplicates", this::duplicate);
  }

  private void registerStoreAndCloud() {
    register("answer_delay", step -> store.maxAnswerDelayMs = step.intAt(1));
    register("lower_limits", step -> store.setLimits(script.nextValueBytes, script.nextTxnOps));
    register("late_writes", step -> store.lateWritePercent = step.intAt(1));
    register("lost_answers", step -> store.lostAnswerPercent = step.intAt(1));
    register(
        "watch_delay",
        step ->
            hosts
                .controllers(step.word(1))
                .forEach(label -> store.watchDelayMsByHost.put(label, step.intAt(2))));
    register("clear_watch_delays", step -> store.watchDelayMsByHost.clear());
    register("commit_delay", step -> store.maxCommitDelayMs = step.intAt(1));
    register("refuse", this::refuse);
    register("accept", step -> store.refusedHosts.remove(hostToAccept(step)));
    register("throttle", step -> store.throttledHosts.add(step.word(1)));
    register("unthrottle", step -> store.throttledHosts.remove(step.word(1)));
    register("outage", this::outage);
    register("boot_s", step -> cloud.bootS = step.doubleAt(1));
    register("list_lag", step -> cloud.listLagS = step.doubleAt(1));
    register("boots", step -> cloud.bootsDisabled = step.word(1).equals("never"));
  }

  private void registerMachines() {
    register("block_heartbeats", step -> hosts.worker(step.word(1)).heartbeatsBlocked = true);
    register("unblock_heartbeats", step -> hosts.worker(step.word(1)).heartbeatsBlocked = false);
    register("capture_heartbeat", step -> hosts.worker(step.word(1)).captureHeartbeat());
    register(
        "deliver_heartbeat",
        step ->
            hosts.worker(step.word(1)).deliverCapturedHeartbeat(hosts.controller(step.word(2))));
    register("hang", this::hang);
    register(
        "resume", step -> (step.hasWord(1) ? hosts.worker(step.word(1)) : lastHung).hang(false));
    register("crash_machine", step -> hosts.worker(step.word(1)).crash());
    register("fail_tasks", step -> hosts.worker(step.word(1)).tasksFail = true);
    register(
        "interruption_notice",
        step -> hosts.worker(step.word(1)).noticeInterruption(step.doubleAt(2)));
    register("reclaim", step -> cloud.removeMachine(hosts.host(step.word(1))));
    register("reclaim_booting", step -> hosts.bootingMachines().forEach(cloud::removeMachine));
  }

  private String controllerOrAny(ScenarioScript.Step step, int index) {
    return step.hasWord(index) ? hosts.controller(step.word(index)) : controllers.anyRunning();
  }

  private static Simulation.CutMode cutMode(ScenarioScript.Step step) {
    boolean losesMessages = step.hasWord(3) && step.word(3).equals("lose");
    return losesMessages ? Simulation.CutMode.LOSE : Simulation.CutMode.HOLD;
  }

  private void duplicate(ScenarioScript.Step step) {
    simulation.duplicateRequests = step.isOn(1);
    if (step.hasWord(2)) {
      simulation.maxDuplicateDelayMs = step.intAt(2) * 1_000;
    }
  }

  private void refuse(ScenarioScript.Step step) {
    lastRefused = hosts.controller(step.word(1));
    store.refusedHosts.add(lastRefused);
  }

  private String hostToAccept(ScenarioScript.Step step) {
    return step.word(1).equals("refused") ? lastRefused : step.word(1);
  }

  private void outage(ScenarioScript.Step step) {
    if (step.word(1).equals("store")) {
      store.setOutage(step.isOn(2));
    } else {
      cloud.outage = step.isOn(2);
    }
  }

  private void hang(ScenarioScript.Step step) {
    lastHung = hosts.worker(step.word(1));
    lastHung.hang(true);
  }

  private static Map<String, String> options(List<String> words, int from) {
    Map<String, String> out = new HashMap<>();
    for (String word : words.subList(from, words.size())) {
      String[] option = word.split("=", 2);
      out.put(option[0], option.length > 1 ? option[1] : "true");
    }
    return out;
  }
}
