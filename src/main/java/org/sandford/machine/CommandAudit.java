package org.sandford.machine;

import org.sandford.audit.AuditLog;
import org.sandford.cluster.Cluster;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.StartTask;

/**
 * Records the starts and stops of tasks in the audit log, with this controller's authority for
 * them.
 */
final class CommandAudit {
  private final Cluster cluster;
  private final AuditLog audit;

  CommandAudit(Cluster cluster, AuditLog audit) {
    this.cluster = cluster;
    this.audit = audit;
  }

  void startAccepted(StartTask request, Machine machine) {
    audit.startAccepted(
        request.job, request.task, request.attempt, request.machine, authority(machine));
  }

  void stopRequested(TaskId task, long attempt, Machine machine) {
    audit.stopped(task.job(), task.task(), attempt, machine.name(), authority(machine));
  }

  private AuditLog.Authority authority(Machine machine) {
    return new AuditLog.Authority(
        cluster.incarnationId(), machine.token(), machine.assignment().generation());
  }
}
