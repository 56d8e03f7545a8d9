package org.sandford.constants;

/** Weights and costs of the placement score, which docs/design.md describes. */
public final class PlacementConstants {
  private PlacementConstants() {}

  /** Weight of a plan's cost in its score, from 0 to 1; the rest is the weight of its fitness. */
  public static final double COST_WEIGHT = 0.5;

  /** Cost of each machine of a plan beyond the first. */
  public static final double COST_EXTRA_MACHINE = 1.0;

  /** Cost of each zone of a plan beyond the first; zones take the place of the design's racks. */
  public static final double COST_EXTRA_ZONE = 4.0;

  /** Cost, for a service or a gang, of a machine without its image: users or other tasks wait. */
  public static final double COST_IMAGE_FETCH = 2.0;

  /** The same for arrays; below {@link #COST_EXTRA_MACHINE}, so that bin packing comes first. */
  public static final double COST_IMAGE_FETCH_ARRAY = 0.6;

  /**
   * Cost of an on-demand machine for work that may use spot machines; on-demand machines are left
   * to services, so that they can be drained.
   */
  public static final double COST_ON_DEMAND = 2.0;

  /** Tolerance for comparing amounts of a resource, since sums of decimal amounts are not exact. */
  public static final double RESOURCE_EPSILON = 1e-6;
}
