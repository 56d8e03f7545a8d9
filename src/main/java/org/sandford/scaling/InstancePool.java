package org.sandford.scaling;

import org.sandford.cloud.InstanceType;
import org.sandford.placement.CandidateMachine;

/**
 * Machines of one instance type in one zone, spot or on demand; the cloud's capacity is tracked per
 * pool.
 */
record InstancePool(String instanceType, String zone, boolean spot) {
  /** Returns an empty machine of the pool as a placement candidate. */
  CandidateMachine candidate(String machine, InstanceType type) {
    return new CandidateMachine(
        machine, "", instanceType, zone, spot, true, type.cpus(), type.gpus(), type.ramGb());
  }
}
