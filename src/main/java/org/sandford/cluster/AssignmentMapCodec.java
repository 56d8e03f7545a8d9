package org.sandford.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.AssignmentMap.Teams;
import org.sandford.runtime.Json;

/**
 * Encodes and decodes the stored form of the assignment map, which all versions of the program
 * share. A partition holds each owner and each machine type once, in a table, and refers to them by
 * index: that keeps it within the store's value limit.
 */
final class AssignmentMapCodec {
  private static final String LAST_GENERATION = "n";
  private static final String TEAMS = "t";
  private static final String MACHINES = "m";
  private static final String OWNERS = "o";
  private static final String MACHINE_TYPES = "s";
  private static final String SPOT = "s";
  private static final String ON_DEMAND = "o";

  private AssignmentMapCodec() {}

  static ObjectNode toJson(Teams teams) {
    ObjectNode root = Json.object().put(LAST_GENERATION, teams.lastGeneration());
    ObjectNode assignments = root.putObject(TEAMS);
    teams
        .assignments()
        .forEach(
            (name, team) -> assignments.putArray(name).add(team.owner()).add(team.generation()));
    return root;
  }

  static Teams readTeams(JsonNode root, long revision) {
    Map<String, TeamAssignment> teams = new TreeMap<>();
    root.path(TEAMS)
        .fields()
        .forEachRemaining(
            field -> {
              JsonNode team = field.getValue();
              teams.put(
                  field.getKey(), new TeamAssignment(team.path(0).asText(), team.path(1).asLong()));
            });
    return new Teams(revision, root.path(LAST_GENERATION).asLong(), teams);
  }

  /** Returns the value of the machines' head. */
  static ObjectNode machinesHead(long lastGeneration) {
    return Json.object().put(LAST_GENERATION, lastGeneration);
  }

  static long readLastGeneration(JsonNode machinesHead) {
    return machinesHead.path(LAST_GENERATION).asLong();
  }

  static ObjectNode toJson(Partition partition) {
    StringTable owners = new StringTable();
    StringTable types = new StringTable();
    ObjectNode root = Json.object();
    ObjectNode machines = root.putObject(MACHINES);
    partition
        .machines()
        .forEach(
            (name, machine) ->
                machines
                    .putArray(name)
                    .add(owners.indexOf(machine.owner()))
                    .add(machine.generation())
                    .add(machine.address())
                    .add(types.indexOf(typeText(machine))));
    root.set(OWNERS, owners.toJson());
    root.set(MACHINE_TYPES, types.toJson());
    return root;
  }

  private static String typeText(MachineAssignment machine) {
    return machine.instanceType()
        + "/"
        + machine.zone()
        + "/"
        + (machine.spot() ? SPOT : ON_DEMAND);
  }

  static Partition readPartition(JsonNode root, long revision) {
    List<String[]> types = new ArrayList<>();
    root.path(MACHINE_TYPES).forEach(type -> types.add(type.asText().split("/", 3)));
    List<String> owners = new ArrayList<>();
    root.path(OWNERS).forEach(owner -> owners.add(owner.asText()));
    Map<String, MachineAssignment> machines = new TreeMap<>();
    root.path(MACHINES)
        .fields()
        .forEachRemaining(
            field -> machines.put(field.getKey(), readMachine(field.getValue(), owners, types)));
    return new Partition(revision, machines);
  }

  private static MachineAssignment readMachine(
      JsonNode machine, List<String> owners, List<String[]> types) {
    String[] type = types.get(machine.path(3).asInt());
    return new MachineAssignment(
        owners.get(machine.path(0).asInt()),
        machine.path(1).asLong(),
        machine.path(2).asText(),
        type[0],
        type[1],
        type[2].equals(SPOT));
  }

  /** Strings in the order of their first use, each with its index. */
  private static final class StringTable {
    private final Map<String, Integer> indexes = new HashMap<>();
    private final ArrayNode texts = Json.array();

    int indexOf(String text) {
      return indexes.computeIfAbsent(
          text,
          newText -> {
            texts.add(newText);
            return texts.size() - 1;
          });
    }

    ArrayNode toJson() {
      return texts;
    }
  }
}
