package org.sandford.scenario;

import org.sandford.cluster.Cluster;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.HandOverTeam;

/**
 * Delivers requests between controllers that a link has held back until now, so that their sender
 * may not want them carried out any more.
 */
final class LateRequests {
  private final FakeStore store;
  private final SimulatedControllers controllers;
  private final ScenarioHosts hosts;

  LateRequests(FakeStore store, SimulatedControllers controllers, ScenarioHosts hosts) {
    this.store = store;
    this.controllers = controllers;
    this.hosts = hosts;
  }

  /**
   * Delivers a request to the owner of its team or machine: {@code handover TEAM SENDER}, {@code
   * drain MACHINE SENDER} or {@code decommission MACHINE SENDER}, the last even if it holds tasks.
   */
  void deliver(ScenarioScript.Step step) {
    String sender = hosts.controller(step.word(3));
    switch (step.word(1)) {
      case "handover" -> deliverHandover(step.word(2), sender);
      case "drain" -> {
        String machine = hosts.host(step.word(2));
        deliverToOwner(machine, sender, new DrainMachine(machine, true));
      }
      case "decommission" -> {
        String machine = hosts.host(step.word(2));
        deliverToOwner(machine, sender, new DecommissionMachine(machine, true));
      }
      default -> throw step.syntaxError();
    }
  }

  private void deliverHandover(String team, String sender) {
    long generation = store.value(Cluster.TEAMS_KEY).path("t").path(team).path(1).asLong();
    controllers.deliverRequest(
        sender, hosts.controller("team_owner:" + team), new HandOverTeam(team, generation));
  }

  private void deliverToOwner(String machine, String sender, Object request) {
    controllers.deliverRequest(sender, hosts.controller("machine_owner:" + machine), request);
  }
}
