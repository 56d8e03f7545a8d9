package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.constants.MachineConstants;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.TaskState;

/** Tests what a worker's messages prove about its tasks while commands are in flight. */
class MachineTest {
  private static final TaskId TASK = new TaskId("wk-1", 0);
  private static final long ATTEMPT = 7;

  private final Machine machine =
      new Machine("n-1", new MachineAssignment("c0#1", 3, "n-1:90", "m8", "a", false), 0);
  private final HeartbeatBuilder worker = new HeartbeatBuilder();

  private void receive(Heartbeat heartbeat, long now) {
    machine.applyHeartbeat(heartbeat, WorkerChannel.HEARTBEAT, now);
  }

  private Heartbeat taskIn(TaskState state, long token) {
    return worker.withTask(token, TASK, ATTEMPT, state, ExitCause.NONE);
  }

  private static StartTask start(String job, long attempt) {
    return new StartTask("red", 1L, "n-1", 3L, job, 0, attempt, 1, 0L, 1.0, 0.0, 1.0, "img");
  }

  private void acceptAndSendStart() {
    receive(worker.withoutTasks(1, machine.token()), 1);
    machine.acceptStart(start("wk-1", ATTEMPT), 2);
    assertFalse(machine.takeCommands(WorkerChannel.COMMAND, true, 3).isEmpty());
  }

  @Test
  void heartbeatWithoutTaskKeepsStartWhoseCommandMayBeUnderWay() {
    acceptAndSendStart();
    receive(worker.withoutTasks(1, machine.token()), 4);
    assertNotNull(machine.find(TASK, ATTEMPT));
  }

  @Test
  void unconfirmedStartStaysUntilRaisedTokenIsSeen() {
    acceptAndSendStart();
    long before = machine.token();
    machine.markStartsUnconfirmed(machine.tasks().startsAwaitingReply());
    assertTrue(machine.token() > before);
    receive(worker.withoutTasks(1, before), 5);
    assertNotNull(machine.find(TASK, ATTEMPT));
    receive(worker.withoutTasks(1, machine.token()), 6);
    assertNull(machine.find(TASK, ATTEMPT));
  }

  @Test
  void newAgentEpochRemovesUnconfirmedStart() {
    acceptAndSendStart();
    machine.markStartsUnconfirmed(machine.tasks().startsAwaitingReply());
    receive(worker.withoutTasks(2, 0), 5);
    assertNull(machine.find(TASK, ATTEMPT));
  }

  @Test
  void onlyTokenOfThisGenerationReconcilesMachine() {
    receive(worker.withoutTasks(1, 3 * MachineConstants.TOKENS_PER_GENERATION - 1), 1);
    assertFalse(machine.isReconciled());
    receive(worker.withoutTasks(1, machine.token()), 2);
    assertTrue(machine.isReconciled());
    receive(worker.withoutTasks(1, 4 * MachineConstants.TOKENS_PER_GENERATION), 3);
    assertFalse(machine.isReconciled());
  }

  @Test
  void heartbeatOfExpiredEpochIsStale() {
    acceptAndSendStart();
    machine.expireLease();
    assertTrue(machine.isStale(worker.withoutTasks(1, machine.token())));
    assertFalse(machine.isStale(worker.withoutTasks(2, machine.token())));
  }

  @Test
  void heartbeatWithOlderSerialIsStale() {
    Heartbeat old = worker.withoutTasks(1, 0);
    receive(worker.withoutTasks(1, 0), 1);
    assertTrue(machine.isStale(old));
  }

  @Test
  void onlyStopsGoWithResponseThatFirstShowsNewToken() {
    receive(taskIn(TaskState.RUNNING, 0), 1);
    machine.acceptStart(start("wk-2", 8L), 2);
    machine.find(TASK, ATTEMPT).requestStop(0);
    assertFalse(machine.isGenerationSeen());
    var commands = machine.takeCommands(WorkerChannel.HEARTBEAT, true, 3);
    assertEquals(1, commands.size());
    assertEquals("stop", commands.get(0).path("verb").asText());
  }

  @Test
  void stopIsRepeatedByCommandUntilExitIsReported() {
    receive(taskIn(TaskState.RUNNING, machine.token()), 1);
    machine.find(TASK, ATTEMPT).requestStop(0);
    long now = 1_000_000_000L;
    assertTrue(machine.hasUrgentCommands(false, now));
    assertEquals(1, machine.takeCommands(WorkerChannel.COMMAND, false, now).size());
    assertFalse(machine.hasUrgentCommands(false, now + 1));
    long later = now + (MachineConstants.COMMAND_TIMEOUT_MS + 1) * 1_000_000L;
    assertTrue(machine.hasUrgentCommands(false, later));
    assertEquals(1, machine.takeCommands(WorkerChannel.COMMAND, false, later).size());
    machine.applyHeartbeat(
        taskIn(TaskState.EXITED, machine.token()), WorkerChannel.COMMAND, later + 1);
    assertFalse(machine.hasUrgentCommands(false, 2 * later));
  }

  @Test
  void checkpointingTaskIsStoppedOnlyAtOnce() {
    receive(taskIn(TaskState.CHECKPOINTING, machine.token()), 1);
    machine.find(TASK, ATTEMPT).requestStop(10);
    assertTrue(machine.takeCommands(WorkerChannel.HEARTBEAT, true, 2).isEmpty());
    machine.find(TASK, ATTEMPT).requestStop(0);
    assertEquals(1, machine.takeCommands(WorkerChannel.HEARTBEAT, true, 3).size());
  }
}
