package org.sandford.machine;

import java.util.HashSet;
import java.util.Set;
import org.sandford.constants.MachineConstants;
import org.sandford.peer.wire.ExitCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Quarantines a machine on which several jobs failed in a row. A quarantine is never lifted: the
 * machine is replaced. Runs on the event loop.
 */
final class QuarantineTracker {
  private static final Logger log = LoggerFactory.getLogger(QuarantineTracker.class);

  private final String machine;
  private final String zone;
  private final Set<String> failedJobs = new HashSet<>();
  private boolean quarantined;

  QuarantineTracker(String machine, String zone) {
    this.machine = machine;
    this.zone = zone;
  }

  /** Returns whether no more tasks may be started on the machine. */
  boolean isQuarantined() {
    return quarantined;
  }

  /** Records that a task of the job exited on the machine. */
  void recordExit(String job, ExitCause cause) {
    if (cause == ExitCause.DONE) {
      failedJobs.clear();
    } else if (cause == ExitCause.ERROR) {
      failedJobs.add(job);
      if (failedJobs.size() >= MachineConstants.QUARANTINE_AFTER_FAILED_JOBS && !quarantined) {
        quarantined = true;
        log.info(
            "machine quarantined machine={} zone={} failed_jobs={}",
            machine,
            zone,
            String.join(",", failedJobs));
      }
    }
  }
}
