package org.sandford.scaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.constants.ScalingConstants;

class UnreachableZonesTest {
  private static final String ZONE = "a";
  private static final int MIN_LOST = ScalingConstants.UNREACHABLE_ZONE_MIN_MACHINES;

  private final UnreachableZones zones = new UnreachableZones();

  private void update(int lost, int total, long now) {
    MachineCount count = new MachineCount();
    for (int i = 0; i < total; i++) {
      count.add(i < lost);
    }
    zones.update(Map.of(ZONE, count), now);
  }

  @Test
  void zoneIsUnreachableForALimitedTimeWhenMostMachinesAreLost() {
    update(MIN_LOST, MIN_LOST + 1, 0);
    assertTrue(zones.isUnreachable(ZONE, 0));
    assertTrue(zones.isUnreachable(ZONE, ScalingConstants.UNREACHABLE_ZONE_RETENTION_MS - 1));
    assertFalse(zones.isUnreachable(ZONE, ScalingConstants.UNREACHABLE_ZONE_RETENTION_MS));
  }

  @Test
  void zoneIsReachableAgainWhenItsMachinesAre() {
    update(MIN_LOST, MIN_LOST, 0);
    update(0, MIN_LOST, 1);
    assertFalse(zones.isUnreachable(ZONE, 1));
    assertFalse(zones.mustKeepLostMachines(ZONE, 1));
  }

  @Test
  void lostMachinesOfALargeZoneAreKeptOnlyDuringDetection() {
    update(MIN_LOST, MIN_LOST * 10, 0);
    assertFalse(zones.isUnreachable(ZONE, 0));
    assertTrue(zones.mustKeepLostMachines(ZONE, 0));
    assertFalse(zones.mustKeepLostMachines(ZONE, ScalingConstants.UNREACHABLE_ZONE_DETECT_MS));
  }

  @Test
  void fewLostMachinesAreNotKept() {
    update(MIN_LOST - 1, MIN_LOST - 1, 0);
    assertFalse(zones.mustKeepLostMachines(ZONE, 0));
  }
}
