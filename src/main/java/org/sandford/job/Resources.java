package org.sandford.job;

import org.sandford.cloud.InstanceType;
import org.sandford.model.JobSpec;

/** CPUs and accelerators that tasks use or may use. Memory has no quota. */
record Resources(double cpus, double gpus) {
  static final Resources ZERO = new Resources(0, 0);

  /** Stands for use without a known bound. */
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

  Resources plus(Resources more) {
    return new Resources(cpus + more.cpus, gpus + more.gpus);
  }

  Resources times(int number) {
    return new Resources(cpus * number, gpus * number);
  }

  /** Returns the smaller value of each resource. */
  Resources atMost(Resources bound) {
    return new Resources(Math.min(cpus, bound.cpus), Math.min(gpus, bound.gpus));
  }

  /** Returns the difference, but never less than zero of each resource. */
  Resources minus(Resources less) {
    return new Resources(Math.max(0, cpus - less.cpus), Math.max(0, gpus - less.gpus));
  }
}
