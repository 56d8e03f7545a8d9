package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sandford.Constants;
import org.sandford.peer.wire.StartTask;
import org.sandford.share.AssignmentMap.MachineOwner;

/** What may be concluded from a worker's messages while a start is under way. */
class MachineTest {
  private static final TaskKey TASK = new TaskKey("wk-1", 0);
  private final Machine machine = new Machine("n-1", new MachineOwner("c0#1", 3, "n-1:90", "m8", "a", false), 0);
  private long serial;

  private WorkerReport said(long tenure, long token) {
    return new WorkerReport("n-1", "n-1:90", "m8", "a", false, tenure, ++serial, token, Double.NaN, List.of());
  }

  private void acceptAndSend() {
    machine.absorb(said(1, machine.token()), true, 1);
    machine.accept(new StartTask("red", 1L, "n-1", 3L, "wk-1", 0, 7L, 1, 0L, 1.0, 0.0, 1.0, "img"), 2);
    assertFalse(machine.orders(true, true, 3).isEmpty());
  }

  @Test
  void aReportWithoutATaskSettlesNothingWhileItsStartMayBeUnderWay() {
    acceptAndSend();
    machine.absorb(said(1, machine.token()), true, 4);
    assertNotNull(machine.find(TASK, 7));
  }

  @Test
  void anUnansweredStartStaysUntilTheRaisedTokenIsSeen() {
    acceptAndSend();
    long before = machine.token();
    machine.pin(machine.sent());
    assertTrue(machine.token() > before);
    machine.absorb(said(1, before), true, 5);
    assertNotNull(machine.find(TASK, 7));
    machine.absorb(said(1, machine.token()), true, 6);
    assertNull(machine.find(TASK, 7));
  }

  @Test
  void aNewTenureSettlesEverything() {
    acceptAndSend();
    machine.pin(machine.sent());
    machine.absorb(said(2, 0), true, 5);
    assertNull(machine.find(TASK, 7));
  }

  @Test
  void onlyATokenOfThisGenerationMakesItOurs() {
    machine.absorb(said(1, 3 * Constants.TOKENS_PER_GENERATION - 1), true, 1);
    assertFalse(machine.settled());
    machine.absorb(said(1, machine.token()), true, 2);
    assertTrue(machine.settled());
    machine.absorb(said(1, 4 * Constants.TOKENS_PER_GENERATION), true, 3);
    assertFalse(machine.settled());
  }

  @Test
  void aReportOfATenureThatIsOverWasHeldBack() {
    acceptAndSend();
    machine.leaseIsOver();
    assertTrue(machine.stale(said(1, machine.token())));
    assertFalse(machine.stale(said(2, machine.token())));
  }

  @Test
  void anOlderMessageIsKnownAsSuch() {
    WorkerReport old = said(1, 0);
    machine.absorb(said(1, 0), true, 1);
    assertTrue(machine.stale(old));
  }
}
