package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.constants.ClusterConstants;
import org.sandford.runtime.Json;

class AssignmentMapTest {
  private static MachineAssignment machine(int i) {
    return new MachineAssignment(
        "worker-" + i % 5 + "#12",
        1_000_000L + i,
        "10.1." + i / 250 + "." + i % 250 + ":9000",
        "type-" + i % 3,
        "zone-" + i % 2,
        i % 2 == 0);
  }

  private static Map<String, MachineAssignment> machines(int from, int to) {
    Map<String, MachineAssignment> out = new TreeMap<>();
    for (int i = from; i < to; i++) {
      out.put(String.format("n-%06d", i), machine(i));
    }
    return out;
  }

  @Test
  void readsPartitionAsWritten() {
    Partition partition = new Partition(7, machines(0, 100));
    assertEquals(
        partition,
        AssignmentMapCodec.readPartition(
            Json.read(Json.bytes(AssignmentMapCodec.toJson(partition))), 7));
  }

  @Test
  void partitionFullByCountStaysWithinValueLimit() {
    for (int limit : new int[] {1024, 8 * 1024, 16 * 1024}) {
      int most =
          (int)
              (limit
                  * ClusterConstants.MAP_PARTITION_FILL_SHARE
                  / ClusterConstants.MAP_ENTRY_BYTES);
      int bytes = Json.bytes(AssignmentMapCodec.toJson(new Partition(1, machines(0, most)))).length;
      assertTrue(bytes <= limit, most + " machines take " + bytes + " of " + limit + " bytes");
    }
  }

  @Test
  void olderPartitionOrHeadReplacesNothing() {
    Machines known =
        Machines.NONE.withNewer(
            9,
            40,
            Map.of(0, new Partition(9, machines(0, 3)), 1, new Partition(8, machines(3, 6))));
    Machines after =
        known.withNewer(
            8,
            30,
            Map.of(0, new Partition(5, machines(0, 1)), 1, new Partition(10, machines(3, 4))));
    assertEquals(9, after.revision());
    assertEquals(40, after.lastGeneration());
    assertEquals(machines(0, 4), after.assignments());
  }
}
