package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.runtime.Json;

/** A cloud by its published protocol: one kind of machine, pools by zone, a list that lags. */
final class FakeCloud implements FakeServer {
  static final class Rented {
    final String name;
    final String zone;
    final boolean spot;
    final long since;
    FakeWorker worker;

    Rented(String name, String zone, boolean spot, long since) {
      this.name = name;
      this.zone = zone;
      this.spot = spot;
      this.since = since;
    }
  }

  private final Simulation simulation;
  private final Scenario scenario;
  final Map<String, Rented> machines = new LinkedHashMap<>();
  private final Map<String, ArrayNode> answered = new HashMap<>();
  private int number;
  boolean outage;
  boolean neverBoot;

  FakeCloud(Simulation simulation, Scenario scenario) {
    this.simulation = simulation;
    this.scenario = scenario;
  }

  Rented rent(String zone, boolean spot, double bootS) {
    Rented machine = new Rented(String.format("n-%06d", number++), zone, spot, simulation.now());
    machines.put(machine.name, machine);
    if (!neverBoot) {
      simulation.after(
          (long) (bootS * 1000),
          () -> {
            if (machines.containsKey(machine.name)) {
              machine.worker = scenario.boot(machine);
            }
          });
    }
    return machine;
  }

  int rented() {
    return number;
  }

  void take(String name) {
    Rented machine = machines.remove(name);
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
    JsonNode asked = Json.read(body);
    if (path.equals("/flavors")) {
      ObjectNode answer = Json.object();
      ObjectNode kind = answer.putArray("machine_kinds").addObject();
      kind.put("sku", "m8")
          .put("vcpus", 8)
          .put("accelerators", 0)
          .put("ram_gb", 64)
          .put("cache_gb", 50);
      kind.put("fetch_gb_per_s", 1.0)
          .put("hourly", 1.0)
          .put("market_price", 0.4)
          .put("ready_s", 10);
      ArrayNode sites = kind.putArray("sites");
      scenario.zones.forEach(sites::add);
      respond.accept(new Response(200, answer));
    } else if (path.equals("/machines")) {
      String hire = asked.path("hire").asText();
      ArrayNode hosts = answered.get(hire);
      if (hosts == null) {
        hosts = Json.array();
        long inPool =
            machines.values().stream()
                .filter(
                    m ->
                        m.zone.equals(asked.path("site").asText())
                            && m.spot == asked.path("reclaimable").asBoolean())
                .count();
        for (int i = 0;
            i < asked.path("number").asInt() && inPool + i < scenario.script.poolSize;
            i++) {
          hosts.add(
              rent(asked.path("site").asText(), asked.path("reclaimable").asBoolean(), 10).name);
        }
        if (hosts.isEmpty()) {
          respond.accept(new Response(503, Json.object().put("error", "no capacity")));
          return;
        }
        answered.put(hire, hosts);
      }
      ObjectNode answer = Json.object();
      answer.set("hosts", hosts);
      respond.accept(new Response(200, answer));
    } else if (path.equals("/machines/return")) {
      asked.path("hosts").forEach(host -> take(host.asText()));
      respond.accept(new Response(200, Json.object()));
    } else {
      ObjectNode answer = Json.object().put("more", false);
      ArrayNode hosts = answer.putArray("hosts");
      for (Rented m : machines.values()) {
        if (simulation.now() - m.since > 5_000 * Simulation.MS) {
          ObjectNode host = hosts.addObject().put("name_id", m.name).put("addr", m.name + ":90");
          host.put("machine_kind", "m8").put("site", m.zone).put("reclaimable", m.spot);
          host.put("status", m.worker == null ? "booting" : "running");
          host.put("held_s", (simulation.now() - m.since) / 1e9);
        }
      }
      respond.accept(new Response(200, answer));
    }
  }
}
