package org.sandford.machine;

import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.peer.wire.StartReply;
import org.sandford.peer.wire.StartTask;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles start requests of team owners. Runs on the event loop. */
final class StartHandler {
  private static final Logger log = LoggerFactory.getLogger(StartHandler.class);

  private final EventLoop loop;
  private final MachineRegistry machines;
  private final StartAdmission admission;
  private final SnapshotPublisher publisher;
  private final CommandScheduler commands;
  private final CommandAudit audit;

  StartHandler(
      EventLoop loop,
      MachineRegistry machines,
      StartAdmission admission,
      SnapshotPublisher publisher,
      CommandScheduler commands,
      CommandAudit audit) {
    this.loop = loop;
    this.machines = machines;
    this.admission = admission;
    this.publisher = publisher;
    this.commands = commands;
    this.audit = audit;
  }

  /**
   * Replies whether the start is accepted, and schedules an accepted one for dispatch to the
   * worker.
   */
  void start(StartTask request, Consumer<Object> reply) {
    Optional<StartRefusal> refusal = admission.check(request);
    if (refusal.isEmpty()) {
      Machine machine = machines.get(request.machine);
      machine.acceptStart(request, loop.nanos());
      audit.startAccepted(request, machine);
      publisher.markChanged(machine);
      commands.schedule(machine);
    } else {
      log.debug(
          "start refused task={}/{} machine={} reason={}",
          request.job,
          request.task,
          request.machine,
          refusal.get());
    }
    reply.accept(
        new StartReply(
            request.job, request.task, request.attempt, request.machine, refusal.isEmpty()));
  }
}
