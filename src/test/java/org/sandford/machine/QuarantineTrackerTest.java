package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sandford.peer.wire.ExitCause;

class QuarantineTrackerTest {
  private final QuarantineTracker tracker = new QuarantineTracker("n-1", "a");

  @Test
  void failuresOfTwoJobsInARowQuarantineMachine() {
    tracker.recordExit("wk-1", ExitCause.ERROR);
    tracker.recordExit("wk-1", ExitCause.ERROR);
    assertFalse(tracker.isQuarantined());
    tracker.recordExit("wk-2", ExitCause.ERROR);
    assertTrue(tracker.isQuarantined());
  }

  @Test
  void taskThatIsDoneClearsEarlierFailures() {
    tracker.recordExit("wk-1", ExitCause.ERROR);
    tracker.recordExit("wk-2", ExitCause.DONE);
    tracker.recordExit("wk-3", ExitCause.ERROR);
    assertFalse(tracker.isQuarantined());
  }
}
