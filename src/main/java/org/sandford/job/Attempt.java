package org.sandford.job;

import org.sandford.peer.wire.TaskSnapshot;

/** Identifies one attempt of a task in snapshots and placements. */
record Attempt(String job, int task, long number) {
  static Attempt of(TaskSnapshot snapshot) {
    return new Attempt(snapshot.job, snapshot.task, snapshot.attempt);
  }

  static Attempt of(TaskPlacement placement) {
    return new Attempt(placement.job.spec.id(), placement.task, placement.attempt);
  }
}
