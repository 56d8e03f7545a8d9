package org.sandford.machine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.constants.MachineConstants;
import org.sandford.constants.ScalingConstants;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects machines whose workers have stopped sending heartbeats. Probes a worker whose heartbeat
 * is overdue, declares its machine lost if it does not answer, and records its lease as expired
 * once the worker must have killed its tasks. Runs on the event loop.
 */
final class LostMachineDetector {
  private static final Logger log = LoggerFactory.getLogger(LostMachineDetector.class);

  private final EventLoop loop;
  private final Settings settings;
  private final MachineRegistry machines;
  private final SnapshotPublisher publisher;
  private final WorkerClient workers;
  private final Map<String, Long> zoneProbedAt = new HashMap<>();

  LostMachineDetector(
      EventLoop loop,
      Settings settings,
      MachineRegistry machines,
      SnapshotPublisher publisher,
      WorkerClient workers) {
    this.loop = loop;
    this.settings = settings;
    this.machines = machines;
    this.publisher = publisher;
    this.workers = workers;
  }

  /** Checks one machine. */
  void check(Machine machine, long now) {
    checkSilence(machine, now);
    checkLease(machine, now);
  }

  private void checkSilence(Machine machine, long now) {
    double periodS = settings.facts().reportS();
    double overdueS =
        periodS * MachineConstants.HEARTBEAT_JITTER_FACTOR + MachineConstants.HEARTBEAT_OVERDUE_S;
    double lostAfterS = periodS * MachineConstants.LOST_AFTER_HEARTBEAT_PERIODS;
    double silentS = machine.lease().silentS(now);
    if (!isHeartbeatExpected(machine)) {
      return;
    }
    if (silentS > lostAfterS) {
      declareLost(machine, silentS);
    } else if (silentS > overdueS) {
      probe(machine);
    }
  }

  private void checkLease(Machine machine, long now) {
    if (machine.state() == MachineState.LOST
        && !machine.lease().isExpired()
        && machine.isLeaseExpiryCertain(settings.facts(), now)) {
      log.info(
          "machine lease expired machine={} zone={}", machine.name(), machine.assignment().zone());
      machine.expireLease();
      publisher.markChanged(machine);
    }
  }

  /**
   * Returns whether the worker should send heartbeats: the machine has an address and is neither
   * lost nor decommissioned.
   */
  private static boolean isHeartbeatExpected(Machine machine) {
    return machine.assignment().hasAddress()
        && machine.state() != MachineState.LOST
        && machine.state() != MachineState.DECOMMISSIONED;
  }

  private void declareLost(Machine machine, double silentS) {
    machine.tasks().removeQueued();
    machine.transitionTo(MachineState.LOST, StateChangeReason.silentFor(silentS));
    publisher.markChanged(machine);
    probeZone(machine.assignment().zone());
  }

  /**
   * Probes the other machines of a zone in which several are lost, because it must be known whether
   * the whole zone is unreachable before the first machines are decommissioned.
   */
  private void probeZone(String zone) {
    long now = loop.nanos();
    Long last = zoneProbedAt.get(zone);
    if (last != null && now - last <= ScalingConstants.ZONE_PROBE_INTERVAL_MS * 1_000_000L) {
      return;
    }
    List<Machine> silentMachines = new ArrayList<>();
    int lost = 0;
    for (Machine machine : machines.all()) {
      if (machine.assignment().zone().equals(zone)) {
        lost += machine.state() == MachineState.LOST ? 1 : 0;
        if (isHeartbeatExpected(machine) && isSilentForProbeTimeout(machine, now)) {
          silentMachines.add(machine);
        }
      }
    }
    if (lost >= ScalingConstants.ZONE_PROBE_AFTER_LOST) {
      zoneProbedAt.put(zone, now);
      silentMachines.forEach(this::probe);
    }
  }

  private static boolean isSilentForProbeTimeout(Machine machine, long now) {
    return now - machine.lease().lastHeartbeatAt() > MachineConstants.PROBE_TIMEOUT_MS * 1_000_000L;
  }

  /** Requests a heartbeat from a worker. Its machine counts as lost if it does not answer. */
  private void probe(Machine machine) {
    if (machine.channel().isProbing()) {
      return;
    }
    machine.channel().setProbing(true);
    long requestedAt = loop.nanos();
    workers.requestHeartbeat(
        machine,
        MachineConstants.PROBE_TIMEOUT_MS,
        reply -> onProbeReply(machine, requestedAt, reply));
  }

  private void onProbeReply(Machine machine, long requestedAt, Reply reply) {
    machine.channel().setProbing(false);
    if (!machines.isCurrent(machine)) {
      return;
    }
    boolean answered =
        reply.ok() && workers.applyReply(machine, reply) != WorkerClient.ReplyContent.NO_HEARTBEAT;
    if (!answered
        && machine.lease().lastHeartbeatAt() < requestedAt
        && isHeartbeatExpected(machine)) {
      declareLost(machine, machine.lease().silentS(loop.nanos()));
    }
  }
}
