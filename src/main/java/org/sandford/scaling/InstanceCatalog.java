package org.sandford.scaling;

import java.util.Map;
import java.util.TreeMap;
import org.sandford.cloud.CloudClient;
import org.sandford.cloud.InstanceType;
import org.sandford.constants.ScalingConstants;
import org.sandford.placement.CandidateMachine;
import org.sandford.runtime.EventLoop;

/**
 * Polls the instance types that the cloud offers. A type that was offered once stays known, even
 * while the cloud is unavailable. Runs on the event loop.
 */
final class InstanceCatalog {
  private final EventLoop loop;
  private final CloudClient cloud;
  private final Map<String, InstanceType> instanceTypes = new TreeMap<>();
  private boolean reading;

  /** When the instance types were last read; meaningless while none are known. */
  private long readAt;

  InstanceCatalog(EventLoop loop, CloudClient cloud) {
    this.loop = loop;
    this.cloud = cloud;
  }

  /** Reads the instance types unless a read is in flight. */
  void read() {
    if (reading) {
      return;
    }
    reading = true;
    cloud.instanceTypes(
        types -> {
          reading = false;
          if (types != null) {
            readAt = loop.millis();
            types.forEach(instanceType -> instanceTypes.put(instanceType.name(), instanceType));
          }
        });
  }

  /** Reads the instance types if none are known or the last read is stale. */
  void readIfStale(long now) {
    if (instanceTypes.isEmpty() || now - readAt > ScalingConstants.INSTANCE_TYPES_POLL_MS) {
      read();
    }
  }

  /** Whether no instance type is known, so that nothing can be provisioned. */
  boolean isEmpty() {
    return instanceTypes.isEmpty();
  }

  /** Returns the instance type of this name, or null if the cloud never offered it. */
  InstanceType get(String name) {
    return instanceTypes.get(name);
  }

  /** Returns a live view of all instance types by name. */
  Map<String, InstanceType> all() {
    return instanceTypes;
  }

  /**
   * Returns the seconds after its rental at which a machine that is not up counts as never coming
   * up; infinite while the instance type is not known.
   */
  double bootTimeoutS(String name) {
    InstanceType instanceType = get(name);
    return instanceType == null
        ? Double.POSITIVE_INFINITY
        : instanceType.bootS() * ScalingConstants.BOOT_TIMEOUT_FACTOR
            + ScalingConstants.BOOT_TIMEOUT_EXTRA_S;
  }

  /** Returns an empty machine of a known instance type as a placement candidate. */
  CandidateMachine candidate(String machine, String instanceType, String zone, boolean spot) {
    return new InstancePool(instanceType, zone, spot).candidate(machine, get(instanceType));
  }
}
