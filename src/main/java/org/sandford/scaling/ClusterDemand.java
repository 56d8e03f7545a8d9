package org.sandford.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.sandford.constants.PeerConstants;
import org.sandford.peer.wire.DemandClass;
import org.sandford.runtime.EventLoop;

/**
 * Collects what waits for resources in the whole cluster: this controller's demand and the recent
 * reports of the others. Runs on the event loop.
 */
final class ClusterDemand {
  private record ReportedDemand(List<DemandClass> classes, long reportedAt) {}

  private final EventLoop loop;
  private final Supplier<List<DemandClass>> ownDemand;
  private final Map<String, ReportedDemand> reports = new HashMap<>();

  ClusterDemand(EventLoop loop, Supplier<List<DemandClass>> ownDemand) {
    this.loop = loop;
    this.ownDemand = ownDemand;
  }

  /** Replaces the previous report of the controller with this label. */
  void report(String label, List<DemandClass> classes) {
    reports.put(label, new ReportedDemand(classes, loop.millis()));
  }

  /** Returns all demand, ordered by rank and then by waiting time, the longest first. */
  List<DemandClass> current(long now) {
    List<DemandClass> all = new ArrayList<>(ownDemand.get());
    reports.forEach(
        (label, report) -> {
          if (now - report.reportedAt < PeerConstants.PEER_TIMEOUT_MS) {
            all.addAll(report.classes);
          }
        });
    all.sort(
        Comparator.comparingInt((DemandClass demand) -> demand.rank)
            .thenComparingDouble(demand -> -demand.waitedS));
    return all;
  }
}
