package org.sandford.scaling;

import org.sandford.cloud.InstanceType;
import org.sandford.placement.CandidateMachine;

/**
 * Machines of one instance type in one zone, spot or on demand: the cloud has capacity for all of
 * them or for none.
 */
record InstancePool(String instanceType, String zone, boolean spot) {
  /** An empty machine of the pool, as placement sees it. */
  CandidateMachine candidate(String machine, InstanceType type) {
    return new CandidateMachine(
        machine, "", instanceType, zone, spot, true, type.cpus(), type.gpus(), type.ram());
  }
}
