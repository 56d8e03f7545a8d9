package org.sandford.job;

import java.util.Set;
import org.sandford.model.JobSpec;

/**
 * The requirements of tasks on their machines. Tasks of one class can be placed on the same
 * machines, whichever jobs they belong to.
 */
record TaskEquivalenceClass(
    double cpus,
    double gpus,
    double ram,
    Set<String> allowedInstanceTypes,
    String zone,
    boolean spotAllowed,
    boolean sameZone,
    boolean spreadAcrossZones) {
  static TaskEquivalenceClass of(JobSpec spec) {
    return new TaskEquivalenceClass(
        spec.cpus(),
        spec.gpus(),
        spec.ramGb(),
        spec.allowedInstanceTypes(),
        spec.zone(),
        spec.spotAllowed(),
        spec.sameZone(),
        spec.spreadAcrossZones());
  }
}
