package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.sandford.cluster.Cluster;

/** Resolves the names that steps use for controllers, machines and their workers. */
final class ScenarioHosts {
  /** Prefix of the keys that hold the machines' partitions of the assignment map. */
  private static final String MACHINES_PARTITION_PREFIX = "c/machines/";

  private final Simulation simulation;
  private final FakeStore store;
  private final FakeCloud cloud;
  private final SimulatedControllers controllers;
  private final Map<String, FakeWorker> workers;
  private final Function<String, FakeWorker> absentWorker;
  private final Map<String, String> machinesByWord = new HashMap<>();

  /** Takes {@code absentWorker} to make a worker for a machine that no longer exists. */
  ScenarioHosts(
      Simulation simulation,
      FakeStore store,
      FakeCloud cloud,
      SimulatedControllers controllers,
      Map<String, FakeWorker> workers,
      Function<String, FakeWorker> absentWorker) {
    this.simulation = simulation;
    this.store = store;
    this.cloud = cloud;
    this.controllers = controllers;
    this.workers = workers;
    this.absentWorker = absentWorker;
  }

  /** The controllers and machines of a zone. */
  Set<String> hostsInZone(String zone) {
    Set<String> hosts = new HashSet<>(machinesInZone(zone));
    List<String> labels = controllers.labels();
    for (int i = 0; i < labels.size(); i++) {
      if (controllers.zoneOf(i).equals(zone)) {
        hosts.add(labels.get(i));
      }
    }
    return hosts;
  }

  /**
   * A controller's label; {@code leader} is the one that leads now, {@code owner:red} the one that
   * owns the team, and {@code holder:m:1} the one that owns the machine, all by the store, or any
   * that runs.
   */
  String controller(String word) {
    String id;
    if (word.equals("leader")) {
      id = text(store.value("c/leader"), "id");
    } else if (word.startsWith("owner:")) {
      id = teamOwner(word.substring("owner:".length()));
    } else if (word.startsWith("holder:")) {
      id = machineOwner(host(word.substring("holder:".length())));
    } else {
      return word;
    }
    String label = id.replaceAll("#.*", "");
    return controllers.isRunning(label) ? label : controllers.anyRunning();
  }

  /** The life that owns the team by the assignment map in the store, or an empty text. */
  private String teamOwner(String team) {
    JsonNode teamsRecord = store.value(Cluster.TEAMS_KEY);
    return teamsRecord == null ? "" : teamsRecord.path("t").path(team).path(0).asText();
  }

  /** The life that owns the machine by the assignment map in the store, or an empty text. */
  private String machineOwner(String machine) {
    String owner = "";
    for (int partition = 0; store.has(MACHINES_PARTITION_PREFIX + partition); partition++) {
      JsonNode record = store.value(MACHINES_PARTITION_PREFIX + partition);
      JsonNode assignment = record.path("m").path(machine);
      owner =
          assignment.isMissingNode()
              ? owner
              : record.path("o").path(assignment.path(0).asInt()).asText();
    }
    return owner;
  }

  private static String text(JsonNode record, String field) {
    return record == null ? "" : record.path(field).asText();
  }

  /** The machines of a zone, which no controller is in that could still reach them. */
  List<String> machinesInZone(String zone) {
    return cloud.machines.values().stream()
        .filter(m -> m.zone.equals(zone))
        .map(m -> m.name)
        .toList();
  }

  List<String> controllers(String label) {
    return label.equals("all") ? controllers.labels() : List.of(controller(label));
  }

  /**
   * A host's name; {@code of:wk-1/0} is the machine that runs the task, and {@code m:2} the third
   * machine that was up when the word was first used, which it goes on to mean.
   */
  String host(String word) {
    if (word.startsWith("m:")) {
      return machinesByWord.computeIfAbsent(
          word,
          w -> {
            List<String> up =
                cloud.machines.values().stream()
                    .filter(m -> m.worker != null && !machinesByWord.containsValue(m.name))
                    .map(m -> m.name)
                    .toList();
            return up.isEmpty() ? "nowhere" : up.get(Integer.parseInt(w.substring(2)) % up.size());
          });
    }
    if (!word.startsWith("of:")) {
      return word;
    }
    for (FakeCloud.Rented m : cloud.machines.values()) {
      if (m.worker != null
          && m.worker.tasks.values().stream()
              .anyMatch(t -> !t.isEnded() && t.piece.equals(word.substring(3)))) {
        return m.name;
      }
    }
    throw new IllegalStateException(
        "no machine runs " + word.substring(3) + " at " + simulation.seconds());
  }

  /**
   * The worker of a machine; one that was given back meanwhile may still be named, and does
   * nothing.
   */
  FakeWorker worker(String word) {
    return workers.computeIfAbsent(
        host(word),
        name -> {
          FakeWorker worker = absentWorker.apply(name);
          worker.destroy();
          return worker;
        });
  }
}
