package org.sandford.placement;

import java.util.Set;

/** A machine as placement sees it: what it is and what is free. Planning takes from it. */
public final class Room {
  public final String machine;
  public final String owner;
  public final String kind;
  public final String zone;
  public final boolean spot;
  public final boolean own;
  public final double cpus;
  public final double gpus;
  public final double ram;
  /** Images that the machine is known to have. */
  public Set<String> images = Set.of();
  /** The job that some of the free room is kept for, or an empty text. */
  public String keptFor = "";
  public int keptRank;
  public double keptCpus;
  public double keptGpus;
  public double keptRam;
  public double freeCpus;
  public double freeGpus;
  public double freeRam;

  public Room(
      String machine, String owner, String kind, String zone, boolean spot, boolean own, double cpus, double gpus, double ram) {
    this.machine = machine;
    this.owner = owner;
    this.kind = kind;
    this.zone = zone;
    this.spot = spot;
    this.own = own;
    this.cpus = cpus;
    this.gpus = gpus;
    this.ram = ram;
    this.freeCpus = cpus;
    this.freeGpus = gpus;
    this.freeRam = ram;
  }

  /** Whether what is kept is kept from this job: from all others of the same rank or a lower one. */
  public boolean keptFrom(String job, int rank) {
    return !keptFor.isEmpty() && !keptFor.equals(job) && rank >= keptRank;
  }

  public void take(double takenCpus, double takenGpus, double takenRam) {
    freeCpus -= takenCpus;
    freeGpus -= takenGpus;
    freeRam -= takenRam;
  }
}
