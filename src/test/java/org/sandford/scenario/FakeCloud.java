package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sandford.runtime.Json;

/** Simulates the cloud: one machine type, a pool in each zone, a listing that lags. */
final class FakeCloud implements FakeServer {
  static final class RentedMachine {
    final String name;
    final String zone;
    final boolean spot;
    final long rentedAt;
    FakeWorker worker;

    RentedMachine(String name, String zone, boolean spot, long rentedAt) {
      this.name = name;
      this.zone = zone;
      this.spot = spot;
      this.rentedAt = rentedAt;
    }
  }

  private final Simulation simulation;
  private final Scenario scenario;
  final Map<String, RentedMachine> machines = new LinkedHashMap<>();
  private final Map<String, ArrayNode> hostsByRequest = new HashMap<>();
  private int rentedCount;
  boolean outage;
  boolean bootsDisabled;

  /** The seconds from a rental until the machine is up. */
  double bootS = 10;

  /** The seconds by which the list lags: younger machines are missing from it. */
  double listLagS = 5;

  /** Returns whether the controller of a label leads, as stored. */
  Predicate<String> isLeader = label -> true;

  /**
   * The number of requests to provision or decommission machines by controllers that don't lead.
   */
  int changesByFormerLeaders;

  FakeCloud(Simulation simulation, Scenario scenario) {
    this.simulation = simulation;
    this.scenario = scenario;
  }

  RentedMachine rent(String zone, boolean spot, double bootS) {
    RentedMachine machine =
        new RentedMachine(String.format("n-%06d", rentedCount++), zone, spot, simulation.now());
    machines.put(machine.name, machine);
    if (!bootsDisabled) {
      simulation.after(
          (long) (bootS * 1000),
          () -> {
            if (machines.containsKey(machine.name)) {
              machine.worker = scenario.bootWorker(machine);
            }
          });
    }
    return machine;
  }

  int rentedCount() {
    return rentedCount;
  }

  void removeMachine(String name) {
    RentedMachine machine = machines.remove(name);
    if (machine != null && machine.worker != null) {
      machine.worker.destroy();
    }
  }

  @Override
  public void handle(
      String from, String method, String path, byte[] body, Consumer<Response> respond) {
    if (outage) {
      respond.accept(new Response(503, Json.object().put("error", "trouble")));
      return;
    }
    if (method.equals("POST") && !isLeader.test(from)) {
      changesByFormerLeaders++;
    }
    JsonNode request = Json.read(body);
    if (path.equals("/flavors")) {
      respond.accept(new Response(200, instanceTypes()));
    } else if (path.equals("/machines")) {
      respond.accept(provision(request));
    } else if (path.equals("/machines/return")) {
      request.path("hosts").forEach(host -> removeMachine(host.asText()));
      respond.accept(new Response(200, Json.object()));
    } else {
      respond.accept(new Response(200, listMachines()));
    }
  }

  private ObjectNode instanceTypes() {
    ObjectNode answer = Json.object();
    ObjectNode kind = answer.putArray("machine_kinds").addObject();
    kind.put("sku", "m8")
        .put("vcpus", 8)
        .put("accelerators", 0)
        .put("ram_gb", 64)
        .put("cache_gb", 50);
    kind.put("fetch_gb_per_s", 1.0).put("hourly", 1.0).put("market_price", 0.4).put("ready_s", 10);
    ArrayNode sites = kind.putArray("sites");
    scenario.zones.forEach(sites::add);
    return answer;
  }

  /** Rents machines of the pool while it has any; a repeated request gives the first answer. */
  private Response provision(JsonNode request) {
    String requestId = request.path("hire").asText();
    ArrayNode hosts = hostsByRequest.get(requestId);
    if (hosts == null) {
      String zone = request.path("site").asText();
      boolean spot = request.path("reclaimable").asBoolean();
      hosts = Json.array();
      long free = scenario.script.poolSize - countRented(zone, spot);
      for (int i = 0; i < Math.min(free, request.path("number").asInt()); i++) {
        hosts.add(rent(zone, spot, bootS).name);
      }
      if (hosts.isEmpty()) {
        return new Response(503, Json.object().put("error", "no capacity"));
      }
      hostsByRequest.put(requestId, hosts);
    }
    ObjectNode answer = Json.object();
    answer.set("hosts", hosts);
    return new Response(200, answer);
  }

  private long countRented(String zone, boolean spot) {
    return machines.values().stream()
        .filter(machine -> machine.zone.equals(zone) && machine.spot == spot)
        .count();
  }

  private ObjectNode listMachines() {
    ObjectNode answer = Json.object().put("more", false);
    ArrayNode hosts = answer.putArray("hosts");
    for (RentedMachine machine : machines.values()) {
      if (simulation.now() - machine.rentedAt > listLagS * 1e9) {
        ObjectNode host =
            hosts.addObject().put("name_id", machine.name).put("addr", machine.name + ":90");
        host.put("machine_kind", "m8").put("site", machine.zone).put("reclaimable", machine.spot);
        host.put("status", machine.worker == null ? "booting" : "running");
        host.put("held_s", (simulation.now() - machine.rentedAt) / 1e9);
      }
    }
    return answer;
  }
}
