package org.sandford.machine;

/**
 * Resources of a machine that are reserved for other jobs.
 *
 * @param cpus cores
 * @param gpus accelerators
 * @param ram memory, in GB
 */
record ReservedResources(double cpus, double gpus, double ram) {}
