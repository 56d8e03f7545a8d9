package org.sandford.scaling;

import java.util.HashMap;
import java.util.Map;
import org.sandford.constants.ScalingConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects zones that a network partition has cut off. When most machines of a zone are lost at
 * once, the likely cause is a partition. For a limited time its machines are neither decommissioned
 * nor replaced there, since new ones would be unreachable too and services that must spread have no
 * other zone. Tasks that may run elsewhere do so once leases have expired. Covered by the scenario
 * {@code unreachable-zone}.
 */
final class UnreachableZones {
  private static final Logger log = LoggerFactory.getLogger(UnreachableZones.class);

  /**
   * Zones with several lost machines, and until when their lost machines are kept for detection.
   */
  private final Map<String, Long> detectUntil = new HashMap<>();

  private final Map<String, Long> unreachableSince = new HashMap<>();

  /** Updates the state of each zone from its count of lost machines. */
  void update(Map<String, MachineCount> countsByZone, long now) {
    countsByZone.forEach((zone, count) -> update(zone, count, now));
  }

  private void update(String zone, MachineCount count, long now) {
    boolean severalLost = count.lost() >= ScalingConstants.UNREACHABLE_ZONE_MIN_MACHINES;
    if (severalLost) {
      // Machines of a cut-off zone are lost one by one; decommissioning the first would be
      // premature.
      detectUntil.putIfAbsent(zone, now + ScalingConstants.UNREACHABLE_ZONE_DETECT_MS);
    } else {
      detectUntil.remove(zone);
    }
    boolean mostLost =
        severalLost && count.lost() >= count.total() * ScalingConstants.UNREACHABLE_ZONE_SHARE;
    if (!mostLost) {
      unreachableSince.remove(zone);
    } else if (unreachableSince.putIfAbsent(zone, now) == null) {
      log.info("zone unreachable zone={} lost={} machines={}", zone, count.lost(), count.total());
    }
  }

  /**
   * Whether the zone counts as unreachable, which ends after a timeout even if it stays cut off.
   */
  boolean isUnreachable(String zone, long now) {
    Long since = unreachableSince.get(zone);
    return since != null && now - since < ScalingConstants.UNREACHABLE_ZONE_RETENTION_MS;
  }

  /** Whether lost machines of the zone must be kept, since it is or may prove unreachable. */
  boolean mustKeepLostMachines(String zone, long now) {
    return isUnreachable(zone, now) || now < detectUntil.getOrDefault(zone, 0L);
  }
}
