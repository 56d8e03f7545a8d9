package org.sandford.job;

import org.sandford.peer.wire.TaskSnapshot;

/** Identifies one attempt of a task in snapshots and placements. */
record AttemptId(String job, int task, long number) {
  static AttemptId of(TaskSnapshot snapshot) {
    return new AttemptId(snapshot.job, snapshot.task, snapshot.attempt);
  }

  static AttemptId of(TaskPlacement placement) {
    return new AttemptId(placement.job.spec.id(), placement.task, placement.attempt);
  }
}
