package org.sandford.constants;

/** Weights and costs of placement; docs/design.md has the score that they enter. */
public final class PlacementConstants {
  private PlacementConstants() {}

  /** Weight of a plan's cost against its fitness, from 0 to 1. */
  public static final double COST_WEIGHT = 0.5;

  /** Cost of each machine of a plan beyond the first. */
  public static final double COST_EXTRA_MACHINE = 1.0;

  /** Cost of each zone of a plan beyond the first; a zone stands for the design's racks. */
  public static final double COST_EXTRA_ZONE = 4.0;

  /** Cost, for a service, of a machine that lacks its image: users wait for the fetch. */
  public static final double COST_IMAGE_FETCH = 2.0;

  /**
   * The same for arrays: less than {@link #COST_EXTRA_MACHINE}, so that bin packing comes first.
   */
  public static final double COST_IMAGE_FETCH_ARRAY = 0.6;

  /**
   * Cost, for work that may use spot machines, of an on-demand one, which is left to services so
   * that it can be drained.
   */
  public static final double COST_ON_DEMAND = 2.0;

  /** Amounts of a resource closer than this are equal: sums of decimal amounts are not exact. */
  public static final double EPSILON = 1e-6;
}
