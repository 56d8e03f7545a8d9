package org.sandford.share;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.core.Json;

/**
 * The assignment map: who owns which team and which machine, each with the generation of its last
 * change. It is stored in two parts, since machines change often and every record write leans on the
 * teams' part. An owner is one life of a controller: label and incarnation.
 */
public final class AssignmentMap {
  private AssignmentMap() {}

  public record TeamOwner(String owner, long generation) {}

  /**
   * A machine of the map. A task may be started on it only once it stands here with its address; so
   * one without an address never held any.
   */
  public record MachineOwner(
      String owner, long generation, String address, String kind, String zone, boolean spot) {
    public boolean seen() {
      return !address.isEmpty();
    }

    MachineOwner ownedBy(String next, long nextGeneration) {
      return new MachineOwner(next, nextGeneration, address, kind, zone, spot);
    }

    MachineOwner at(String where) {
      return new MachineOwner(owner, generation, where, kind, zone, spot);
    }
  }

  /** The teams' part with the revision under which it is stored; 0 before the first. */
  public record Teams(long revision, long last, Map<String, TeamOwner> of) {
    static final Teams NONE = new Teams(0, 0, Map.of());

    ObjectNode json() {
      ObjectNode root = Json.object().put("n", last);
      ObjectNode teams = root.putObject("t");
      of.forEach((name, t) -> teams.putArray(name).add(t.owner).add(t.generation));
      return root;
    }

    static Teams read(JsonNode root, long revision) {
      Map<String, TeamOwner> of = new TreeMap<>();
      root.path("t")
          .fields()
          .forEachRemaining(
              e -> of.put(e.getKey(), new TeamOwner(e.getValue().path(0).asText(), e.getValue().path(1).asLong())));
      return new Teams(revision, root.path("n").asLong(), of);
    }
  }

  /** The machines' part with its revision; 0 before the first. */
  public record Machines(long revision, long last, Map<String, MachineOwner> of) {
    static final Machines NONE = new Machines(0, 0, Map.of());

    ObjectNode json() {
      ObjectNode root = Json.object().put("n", last);
      ObjectNode machines = root.putObject("m");
      of.forEach(
          (name, m) ->
              machines
                  .putArray(name)
                  .add(m.owner)
                  .add(m.generation)
                  .add(m.address)
                  .add(m.kind)
                  .add(m.zone)
                  .add(m.spot ? 1 : 0));
      return root;
    }

    static Machines read(JsonNode root, long revision) {
      Map<String, MachineOwner> of = new TreeMap<>();
      root.path("m")
          .fields()
          .forEachRemaining(
              e -> {
                JsonNode m = e.getValue();
                of.put(
                    e.getKey(),
                    new MachineOwner(
                        m.path(0).asText(),
                        m.path(1).asLong(),
                        m.path(2).asText(),
                        m.path(3).asText(),
                        m.path(4).asText(),
                        m.path(5).asInt() == 1));
              });
      return new Machines(revision, root.path("n").asLong(), of);
    }
  }
}
