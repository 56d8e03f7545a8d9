package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sandford.job.Gang.Phase;

class GangTest {
  private final Gang gang = new Gang();

  private void transitionThrough(Phase... phases) {
    for (Phase phase : phases) {
      assertTrue(gang.transitionTo(phase, 1), "the phase was " + phase + " already");
    }
  }

  @Test
  void countsOnlyAttemptsThatNeverRanAsFailures() {
    transitionThrough(
        Phase.STARTING,
        Phase.TERMINATING,
        Phase.WAITING,
        Phase.STARTING,
        Phase.RENDEZVOUS,
        Phase.TERMINATING,
        Phase.WAITING);
    assertEquals(2, gang.consecutiveFailures());
    transitionThrough(Phase.STARTING, Phase.RUNNING);
    assertEquals(0, gang.consecutiveFailures());
    transitionThrough(Phase.STOPPING, Phase.WAITING);
    assertEquals(0, gang.consecutiveFailures(), "an attempt whose tasks all ran is no failure");
  }

  @Test
  void repeatedTransitionKeepsPhaseStart() {
    gang.transitionTo(Phase.STARTING, 5);
    assertFalse(gang.transitionTo(Phase.STARTING, 9));
    assertEquals(5, gang.phaseStartedAtNanos());
  }

  @Test
  void doneGangRefusesOtherPhases() {
    transitionThrough(Phase.STARTING, Phase.RUNNING, Phase.DONE);
    assertThrows(IllegalStateException.class, () -> gang.transitionTo(Phase.WAITING, 2));
  }
}
