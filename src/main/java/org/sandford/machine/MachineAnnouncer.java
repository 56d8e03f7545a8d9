package org.sandford.machine;

import java.util.HashMap;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ClusterConstants;
import org.sandford.constants.MachineConstants;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.MachineDiscovered;
import org.sandford.runtime.EventLoop;

/**
 * Reports machines to the leader that are missing from the assignment map or have no address in it.
 * Runs on the event loop.
 */
final class MachineAnnouncer {
  private final EventLoop loop;
  private final Cluster cluster;
  private final PeerLinks links;
  private final Map<String, Long> announcedAt = new HashMap<>();

  MachineAnnouncer(EventLoop loop, Cluster cluster, PeerLinks links) {
    this.loop = loop;
    this.cluster = cluster;
    this.links = links;
  }

  /**
   * Announces the machine that sent this heartbeat if the map lacks it or its address, at most once
   * per {@link ClusterConstants#LEADER_CHECK_MS}.
   */
  void announce(Heartbeat heartbeat) {
    MachineAssignment assignment = cluster.machines().assignments().get(heartbeat.machine());
    if (assignment != null && assignment.hasAddress()) {
      return;
    }
    long now = loop.nanos();
    Long last = announcedAt.get(heartbeat.machine());
    if (last != null && now - last < ClusterConstants.LEADER_CHECK_MS * 1_000_000L) {
      return;
    }
    announcedAt.put(heartbeat.machine(), now);
    links.request(
        cluster.leaderLabel(),
        new MachineDiscovered(
            heartbeat.machine(),
            heartbeat.address(),
            heartbeat.instanceType(),
            heartbeat.zone(),
            heartbeat.spot()));
  }

  /**
   * Removes machines whose last announcement is older than {@link
   * MachineConstants#ANNOUNCEMENT_RETENTION_MS}.
   */
  void removeExpired(long now) {
    announcedAt
        .values()
        .removeIf(at -> now - at > MachineConstants.ANNOUNCEMENT_RETENTION_MS * 1_000_000L);
  }
}
