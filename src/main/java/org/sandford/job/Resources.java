package org.sandford.job;

import org.sandford.cloud.InstanceType;
import org.sandford.model.JobSpec;

/** CPUs and accelerators that tasks use or may use. Memory has no quota. */
record Resources(double cpus, double gpus) {
  static final Resources ZERO = new Resources(0, 0);

  /** Resource use without a known upper bound. */
  static final Resources UNBOUNDED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  static Resources ofTask(JobSpec spec) {
    return new Resources(spec.cpus(), spec.gpus());
  }

  /** Returns the capacity of the type; {@link #UNBOUNDED} if it is null, which means unknown. */
  static Resources ofMachine(InstanceType instanceType) {
    return instanceType == null
        ? UNBOUNDED
        : new Resources(instanceType.cpus(), instanceType.gpus());
  }

  Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus);
  }

  Resources times(int factor) {
    return new Resources(cpus * factor, gpus * factor);
  }

  /** Returns the smaller value of each resource. */
  Resources min(Resources other) {
    return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus));
  }

  /** Returns the difference, but never less than zero of each resource. */
  Resources minus(Resources other) {
    return new Resources(Math.max(0, cpus - other.cpus), Math.max(0, gpus - other.gpus));
  }
}
