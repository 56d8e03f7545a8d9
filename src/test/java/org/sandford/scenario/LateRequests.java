package org.sandford.scenario;

import org.sandford.cluster.Cluster;
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

  /** Delivers a request to its receiver: {@code handover TEAM SENDER}. */
  void deliver(ScenarioScript.Step step) {
    String sender = hosts.controller(step.word(3));
    switch (step.word(1)) {
      case "handover" -> deliverHandover(step.word(2), sender);
      default -> throw step.syntaxError();
    }
  }

  private void deliverHandover(String team, String sender) {
    long generation = store.value(Cluster.TEAMS_KEY).path("t").path(team).path(1).asLong();
    controllers.deliverRequest(
        sender, hosts.controller("team_owner:" + team), new HandOverTeam(team, generation));
  }
}
