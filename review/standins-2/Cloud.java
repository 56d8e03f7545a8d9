package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud as PROTOCOL describes it, with one type of machine. */
final class Cloud {
  private static final class Machine {
    String name;
    String zone;
    boolean spot;
    long rentedAt;
    long upAt;
    Worker worker;
  }

  private final Rig rig;
  private final Web.Server server;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> hires = new HashMap<>();
  private int lastNumber;

  /** How many machines may exist at a time. */
  volatile int capacity = Integer.MAX_VALUE;

  volatile double bootS = 2;
  volatile boolean outage;

  Cloud(Rig rig) throws IOException {
    this.rig = rig;
    this.server = new Web.Server(this::serve);
    Web.daemon(
        () -> {
          while (true) {
            Web.sleep(50);
            bootDue();
          }
        });
  }

  String address() {
    return server.address();
  }

  /** Rents a machine that is up at once; used before the controllers start. */
  synchronized void rentUp(String zone, boolean spot) throws IOException {
    Machine machine = rent(zone, spot);
    machine.upAt = 0;
    machine.rentedAt -= 60_000;
    machine.worker = new Worker(rig, machine.name, zone, spot);
  }

  synchronized List<Worker> workers() {
    List<Worker> workers = new ArrayList<>();
    machines
        .values()
        .forEach(
            machine -> {
              if (machine.worker != null) {
                workers.add(machine.worker);
              }
            });
    return workers;
  }

  private Machine rent(String zone, boolean spot) {
    Machine machine = new Machine();
    machine.name = String.format("n-%06d", ++lastNumber);
    machine.zone = zone;
    machine.spot = spot;
    machine.rentedAt = Recorder.now();
    machine.upAt = machine.rentedAt + (long) (bootS * 1000);
    machines.put(machine.name, machine);
    return machine;
  }

  private synchronized void bootDue() {
    for (Machine machine : machines.values()) {
      if (machine.worker == null && Recorder.now() >= machine.upAt) {
        try {
          machine.worker = new Worker(rig, machine.name, machine.zone, machine.spot);
          rig.record.write("machine up " + machine.name);
        } catch (IOException e) {
          rig.record.write("machine cannot start: " + e);
        }
      }
    }
  }

  private Web.Response serve(String method, String path, byte[] body) throws IOException {
    Web.sleep(30);
    if (outage) {
      return Store.error(503, "trouble");
    }
    synchronized (this) {
      if (path.equals("/flavors")) {
        return flavors();
      }
      if (path.equals("/machines/return")) {
        for (JsonNode name : Store.JSON.readTree(body).path("hosts")) {
          Machine machine = machines.remove(name.asText());
          if (machine != null) {
            rig.record.write("machine returned " + machine.name);
            if (machine.worker != null) {
              machine.worker.remove("returned");
            }
          }
        }
        return new Web.Response(200, "{}");
      }
      if (method.equals("POST")) {
        return hire(Store.JSON.readTree(body));
      }
      return list();
    }
  }

  private Web.Response flavors() {
    ObjectNode body = Store.JSON.createObjectNode();
    ObjectNode kind = body.putArray("machine_kinds").addObject();
    kind.put("sku", rig.kind).put("vcpus", rig.machineCpus).put("accelerators", 0);
    kind.put("ram_gb", rig.machineRamGb).put("cache_gb", 80).put("fetch_gb_per_s", rig.fetchGbPerS);
    kind.put("hourly", 0.91).put("market_price", 0.41).put("ready_s", 35);
    rig.zones.forEach(kind.putArray("sites")::add);
    return new Web.Response(200, body.toString());
  }

  private Web.Response hire(JsonNode request) {
    String name = request.path("hire").asText();
    List<String> rented = hires.get(name);
    if (rented == null) {
      rented = new ArrayList<>();
      int number = request.path("number").asInt();
      while (rented.size() < number && machines.size() < capacity) {
        rented.add(
            rent(request.path("site").asText(), request.path("reclaimable").asBoolean()).name);
      }
      if (rented.isEmpty()) {
        rig.record.write("rental refused " + request);
        return Store.error(503, "no capacity");
      }
      hires.put(name, rented);
      rig.record.write("rented " + rented + " for " + request);
    }
    ObjectNode body = Store.JSON.createObjectNode();
    rented.forEach(body.putArray("hosts")::add);
    return new Web.Response(200, body.toString());
  }

  private Web.Response list() {
    ObjectNode body = Store.JSON.createObjectNode();
    ArrayNode hosts = body.putArray("hosts");
    for (Machine machine : machines.values()) {
      boolean running = machine.worker != null;
      ObjectNode host = hosts.addObject().put("name_id", machine.name);
      host.put("addr", running ? machine.worker.address() : null);
      host.put("machine_kind", rig.kind).put("site", machine.zone);
      host.put("reclaimable", machine.spot).put("status", running ? "running" : "booting");
      host.put("held_s", (Recorder.now() - machine.rentedAt) / 1000.0);
    }
    body.put("more", false);
    return new Web.Response(200, body.toString());
  }
}
