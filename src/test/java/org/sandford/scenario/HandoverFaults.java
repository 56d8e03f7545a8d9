package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import org.sandford.cluster.Cluster;

/**
 * Injects faults into the handover of a team from a live controller to another. An armed fault
 * strikes once, at the next handover; {@link #count} tells how many did.
 */
final class HandoverFaults {
  private final Simulation simulation;
  private final FakeStore store;
  private final SimulatedControllers controllers;
  private int count;

  HandoverFaults(Simulation simulation, FakeStore store, SimulatedControllers controllers) {
    this.simulation = simulation;
    this.store = store;
    this.controllers = controllers;
  }

  /** Returns how many armed faults have struck. */
  int count() {
    return count;
  }

  /**
   * Arms a fault. {@code write_lost}, {@code write_applied} and {@code write_late SECONDS}: the
   * leader crashes as it writes the team's next owner, and the write is lost, carried out at once,
   * or carried out later. {@code none} disarms.
   */
  void arm(ScenarioScript.Step step) {
    switch (step.word(1)) {
      case "write_lost" -> interceptWrite(execute -> {});
      case "write_applied" -> interceptWrite(Runnable::run);
      case "write_late" -> {
        long delayMs = (long) (step.doubleAt(2) * 1_000);
        interceptWrite(execute -> simulation.after(delayMs, execute));
      }
      case "none" -> disarm();
      default -> throw step.syntaxError();
    }
  }

  /** Decides when, if ever, an intercepted write is carried out. */
  private interface WriteFate {
    void decide(Runnable execute);
  }

  private void interceptWrite(WriteFate fate) {
    store.interceptor =
        (from, transaction, execute) -> {
          if (!movesTeamOfLiveOwner(from, transaction)) {
            return false;
          }
          strike();
          fate.decide(execute);
          controllers.crash(from);
          return true;
        };
  }

  private void strike() {
    count++;
    disarm();
  }

  private void disarm() {
    store.interceptor = (from, transaction, execute) -> false;
  }

  /** Returns whether the transaction moves a team of a live controller other than its sender. */
  private boolean movesTeamOfLiveOwner(String sender, JsonNode transaction) {
    for (JsonNode write : transaction.path("writes")) {
      if (write.path("put").asText().equals(Cluster.TEAMS_KEY)
          && store.containsKey(Cluster.TEAMS_KEY)) {
        return movesTeamOfLiveOwner(sender, write.path("v").path("t"), storedTeams());
      }
    }
    return false;
  }

  private boolean movesTeamOfLiveOwner(String sender, JsonNode next, JsonNode current) {
    for (String team : (Iterable<String>) current::fieldNames) {
      String owner = current.path(team).path(0).asText();
      String label = Cluster.labelOf(owner);
      boolean lives = owner.equals(idOf(store.value("c/ctl/" + label)));
      if (lives && !label.equals(sender) && !owner.equals(next.path(team).path(0).asText())) {
        return true;
      }
    }
    return false;
  }

  private JsonNode storedTeams() {
    return store.value(Cluster.TEAMS_KEY).path("t");
  }

  private static String idOf(JsonNode record) {
    return record == null ? "" : record.path("id").asText();
  }
}
