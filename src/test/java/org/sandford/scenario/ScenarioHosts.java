package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.sandford.cluster.Cluster;

/** Resolves the words that steps use for controllers, machines and their workers. */
final class ScenarioHosts {
  /** The prefix of the keys that hold the machines' partitions of the assignment map. */
  private static final String MACHINES_PARTITION_PREFIX = "c/machines/";

  private final Simulation simulation;
  private final FakeStore store;
  private final FakeCloud cloud;
  private final SimulatedControllers controllers;
  private final Map<String, FakeWorker> workers;
  private final Function<String, FakeWorker> absentWorker;
  private final Map<String, String> machinesByWord = new HashMap<>();

  /** Uses {@code absentWorker} to create a worker for a machine that no longer exists. */
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

  /** Returns the controllers and machines of a zone. */
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
   * Returns a controller's label. {@code leader} is the present leader, {@code follower} the first
   * running controller that does not lead, {@code team_owner:red} the owner of the team and {@code
   * machine_owner:m:1} the owner of the machine, all as stored; if that one does not run, any
   * running controller is returned.
   */
  String controller(String word) {
    String id;
    if (word.equals("leader")) {
      id = leaderId();
    } else if (word.equals("follower")) {
      id = follower();
    } else if (word.startsWith("team_owner:")) {
      id = teamOwner(word.substring("team_owner:".length()));
    } else if (word.startsWith("machine_owner:")) {
      id = machineOwner(host(word.substring("machine_owner:".length())));
    } else {
      return word;
    }
    String label = id.replaceAll("#.*", "");
    return controllers.isRunning(label) ? label : controllers.anyRunning();
  }

  /** Returns whether the controller leads, as stored. */
  boolean isLeader(String label) {
    return Cluster.isIncarnationOf(leaderId(), label);
  }

  private String leaderId() {
    return textField(store.value("c/leader"), "id");
  }

  private String follower() {
    String leader = Cluster.labelOf(leaderId());
    return controllers.runningLabels().stream()
        .filter(label -> !label.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the member id of the team's owner in the stored assignment map, or an empty string. */
  private String teamOwner(String team) {
    JsonNode teamsRecord = store.value(Cluster.TEAMS_KEY);
    return teamsRecord == null ? "" : teamsRecord.path("t").path(team).path(0).asText();
  }

  /** Returns the member id of the machine's owner in the stored map, or an empty string. */
  private String machineOwner(String machine) {
    String owner = "";
    for (int partition = 0; store.containsKey(MACHINES_PARTITION_PREFIX + partition); partition++) {
      JsonNode record = store.value(MACHINES_PARTITION_PREFIX + partition);
      JsonNode assignment = record.path("m").path(machine);
      owner =
          assignment.isMissingNode()
              ? owner
              : record.path("o").path(assignment.path(0).asInt()).asText();
    }
    return owner;
  }

  private static String textField(JsonNode record, String field) {
    return record == null ? "" : record.path(field).asText();
  }

  /** Returns the machines of a zone, without its controllers. */
  List<String> machinesInZone(String zone) {
    return cloud.machines.values().stream()
        .filter(m -> m.zone.equals(zone))
        .map(m -> m.name)
        .toList();
  }

  /** Returns the machines that are rented and not up. */
  List<String> bootingMachines() {
    return cloud.machines.values().stream().filter(m -> m.worker == null).map(m -> m.name).toList();
  }

  List<String> controllers(String label) {
    return label.equals("all") ? controllers.labels() : List.of(controller(label));
  }

  /**
   * Returns a host's name. {@code machine_of:wk-1/0} is the machine that runs the task. {@code m:2}
   * is the third machine that was up when the word was first used, and keeps that meaning.
   */
  String host(String word) {
    if (word.startsWith("m:")) {
      return machinesByWord.computeIfAbsent(
          word,
          w -> {
            List<String> candidates =
                cloud.machines.values().stream()
                    .filter(m -> m.worker != null && !machinesByWord.containsValue(m.name))
                    .map(m -> m.name)
                    .toList();
            return candidates.isEmpty()
                ? "nowhere"
                : candidates.get(Integer.parseInt(w.substring(2)) % candidates.size());
          });
    }
    if (!word.startsWith("machine_of:")) {
      return word;
    }
    for (FakeCloud.RentedMachine m : cloud.machines.values()) {
      if (m.worker != null
          && m.worker.tasks.values().stream()
              .anyMatch(
                  t -> !t.isEnded() && t.piece.equals(word.substring("machine_of:".length())))) {
        return m.name;
      }
    }
    throw new IllegalStateException(
        "no machine runs "
            + word.substring("machine_of:".length())
            + " at "
            + simulation.seconds());
  }

  /**
   * Returns the worker of a machine; for a machine that was returned to the cloud, one that does
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
