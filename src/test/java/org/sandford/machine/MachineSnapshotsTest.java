package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sandford.audit.AuditLog;
import org.sandford.cluster.Cluster;
import org.sandford.peer.wire.AssignmentUpdate;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.PartitionUpdate;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.settings.TestSettings;
import org.sandford.store.StoreClient;

/**
 * Tests which snapshots are used when their sender has read an older or a newer assignment map: too
 * many would count tasks that are gone against a limit, too few would not count tasks that run.
 */
class MachineSnapshotsTest {
  private static final String MACHINE = "n-1";

  /** Ignores the notifications of a cluster. */
  private static final class IgnoringListener implements Cluster.Listener {
    @Override
    public void clusterStateChanged() {}

    @Override
    public void jobEnded(String job, JsonNode record) {}

    @Override
    public void jobAdded(String job, String team) {}

    @Override
    public void terminalStatesMissed() {}
  }

  private final ManualEventLoop loop = new ManualEventLoop();
  private Cluster cluster;
  private MachineSnapshots snapshots;
  private long revision;

  @BeforeEach
  void makeSnapshots() {
    StoreClient silentStore =
        new StoreClient(
            loop, (address, method, path, body, timeoutMs, onReply) -> {}, "store:1", 100, 100);
    cluster = new Cluster(loop, new TestSettings().of("c0"), silentStore, new AuditLog());
    cluster.start(new IgnoringListener());
    snapshots = new MachineSnapshots(loop, cluster);
  }

  /** Makes a newer map known in which the machine is assigned to c1 under this generation. */
  private void readMapWithMachine(long generation) {
    readMap("{\"%s\":[0,%d,\"10.1.0.1:90\",0]}".formatted(MACHINE, generation), generation);
  }

  private void readMapWithoutMachines(long lastGeneration) {
    readMap("{}", lastGeneration);
  }

  private void readMap(String machines, long lastGeneration) {
    revision++;
    String partition = "{\"m\":%s,\"o\":[\"c1#1\"],\"s\":[\"m8/a/o\"]}".formatted(machines);
    cluster.applyUpdate(
        new AssignmentUpdate(
            0L,
            "{}",
            revision,
            lastGeneration,
            List.of(new PartitionUpdate(0, revision, partition))));
    snapshots.removeUnassigned();
  }

  private void receive(long generation) {
    MachineSnapshot snapshot =
        new MachineSnapshot(
            MACHINE,
            generation,
            MachineState.UP,
            "m8",
            "a",
            false,
            List.of(),
            List.of(),
            false,
            true,
            false,
            List.of());
    snapshots.apply("c1", new SnapshotUpdate(false, List.of(snapshot), List.of(), true));
  }

  @Test
  void snapshotOfMachineThatLeftTheMapIsDropped() {
    readMapWithMachine(3);
    readMapWithoutMachines(4);
    receive(3);
    assertNull(snapshots.get(MACHINE));
  }

  @Test
  void snapshotIsRemovedWithItsMachine() {
    readMapWithMachine(3);
    receive(3);
    assertEquals(1, snapshots.assigned().size());
    readMapWithoutMachines(3);
    assertNull(snapshots.get(MACHINE));
  }

  @Test
  void snapshotThatPrecedesTheMapIsKeptUntilTheMapIsRead() {
    readMapWithoutMachines(4);
    receive(5);
    assertFalse(snapshots.isAssigned(MACHINE));
    assertTrue(snapshots.assigned().isEmpty());
    snapshots.removeUnassigned();
    readMapWithMachine(5);
    assertNotNull(snapshots.get(MACHINE));
    assertTrue(snapshots.isFromOwner(snapshots.get(MACHINE)));
    assertEquals(1, snapshots.assigned().size());
  }

  @Test
  void snapshotBeforeTheFirstMapIsKept() {
    receive(3);
    assertTrue(snapshots.assigned().isEmpty());
    readMapWithMachine(3);
    assertEquals(1, snapshots.assigned().size());
  }

  @Test
  void earlySnapshotIsDroppedWhenItsMachineHasLeftTheMapAgain() {
    readMapWithoutMachines(4);
    receive(5);
    readMapWithoutMachines(6);
    assertNull(snapshots.get(MACHINE));
  }

  @Test
  void formerSnapshotDoesNotReplaceThatOfMachineThatReturnedUnderItsName() {
    readMapWithMachine(3);
    readMapWithoutMachines(4);
    readMapWithMachine(5);
    receive(5);
    receive(3);
    assertEquals(5, snapshots.get(MACHINE).snapshot().generation);
  }
}
