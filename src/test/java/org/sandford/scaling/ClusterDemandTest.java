package org.sandford.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.constants.PeerConstants;
import org.sandford.peer.wire.DemandClass;
import org.sandford.runtime.ManualEventLoop;

class ClusterDemandTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final List<DemandClass> own = new ArrayList<>();
  private final ClusterDemand demand = new ClusterDemand(loop, () -> own);

  private static DemandClass demandOf(int rank, double waitedS) {
    return new DemandClass(
        rank, 1.0, 0.0, 1.0, 1, true, false, false, false, List.of(), "", waitedS, 1, Map.of());
  }

  private List<DemandClass> current() {
    return demand.current(loop.millis());
  }

  @Test
  void demandIsOrderedByRankAndThenByWaitingTime() {
    DemandClass urgent = demandOf(1, 0);
    DemandClass longWaiting = demandOf(2, 60);
    DemandClass fresh = demandOf(2, 1);
    own.addAll(List.of(fresh, longWaiting));
    demand.report("worker-1", List.of(urgent));
    assertEquals(List.of(urgent, longWaiting, fresh), current());
  }

  @Test
  void reportReplacesThePreviousOneOfTheSameController() {
    DemandClass latest = demandOf(1, 2);
    demand.report("worker-1", List.of(demandOf(1, 1)));
    demand.report("worker-1", List.of(latest));
    assertEquals(List.of(latest), current());
  }

  @Test
  void reportOfASilentControllerExpires() {
    demand.report("worker-1", List.of(demandOf(1, 1)));
    loop.advanceSeconds(PeerConstants.PEER_TIMEOUT_MS / 1000.0);
    assertEquals(List.of(), current());
  }
}
