package org.sandford.machine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.cancel.Cancellations;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.model.ApiResponse;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;

/**
 * Answers workers' heartbeats. A 200 response renews the worker's lease, so it is sent only while
 * this controller owns the machine and may renew leases. Runs on the event loop.
 */
final class HeartbeatHandler {
  private final EventLoop loop;
  private final Settings settings;
  private final Cluster cluster;
  private final Cancellations cancellations;
  private final MachineRegistry machines;
  private final MachineAnnouncer announcer;
  private final HeartbeatProcessor processor;

  HeartbeatHandler(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      Cancellations cancellations,
      MachineRegistry machines,
      MachineAnnouncer announcer,
      HeartbeatProcessor processor) {
    this.loop = loop;
    this.settings = settings;
    this.cluster = cluster;
    this.cancellations = cancellations;
    this.machines = machines;
    this.announcer = announcer;
    this.processor = processor;
  }

  /**
   * Processes a heartbeat and answers it: 200 with token and commands, 421 with the owner's label
   * when another controller owns the machine, 400 when the body is not a heartbeat, 503 when the
   * lease must not be renewed now or a newer message is known.
   */
  ApiResponse handle(JsonNode body) {
    if (!(HeartbeatReader.read(body) instanceof Heartbeat heartbeat)) {
      return ApiResponse.refusal(400, "not a worker's report");
    }
    MachineAssignment assignment = cluster.machines().assignments().get(heartbeat.machine());
    Machine machine = machines.get(heartbeat.machine());
    if (machine == null || machine.isSuperseded()) {
      return misdirected(heartbeat, assignment);
    }
    if (!machine.assignment().hasAddress()) {
      announcer.announce(heartbeat);
    }
    if (machine.isStale(heartbeat)) {
      return ApiResponse.retryLater(503, "a newer report is known", 1);
    }
    processor.process(machine, heartbeat, WorkerChannel.HEARTBEAT);
    if (machine.isSuperseded()) {
      return misdirected(heartbeat, assignment);
    }
    if (!cancellations.mayRenewWorkerLease(machine.tasks().allJobsConfirmedOpen())) {
      return ApiResponse.retryLater(503, "this controller may not renew leases now", 1);
    }
    return renew(machine);
  }

  private ApiResponse renew(Machine machine) {
    long now = loop.nanos();
    machine.lease().renew(now);
    machine.invalidateRepeatableStarts(now, settings.facts().leaseS() / 2);
    boolean mayStart =
        machine.channel().isBroken()
            && machine.state() == MachineState.UP
            && cluster.sessionLeaseValid();
    ArrayNode commands = machine.takeCommands(WorkerChannel.HEARTBEAT, mayStart, now);
    return ApiResponse.of(200, WorkerCommands.heartbeatResponseBody(machine.token(), commands));
  }

  /** Answers 421 for a machine that is in another shard or in none yet. */
  private ApiResponse misdirected(Heartbeat heartbeat, MachineAssignment assignment) {
    announcer.announce(heartbeat);
    String owner = assignment == null ? "" : Cluster.labelOf(assignment.owner());
    ObjectNode responseBody = Json.object();
    if (!owner.isEmpty() && !owner.equals(settings.label())) {
      responseBody.put("reports_to", owner);
    }
    return ApiResponse.of(421, responseBody);
  }
}
