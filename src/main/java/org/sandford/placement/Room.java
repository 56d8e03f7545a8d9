package org.sandford.placement;

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

  public Room copy() {
    Room copy = new Room(machine, owner, kind, zone, spot, own, cpus, gpus, ram);
    copy.freeCpus = freeCpus;
    copy.freeGpus = freeGpus;
    copy.freeRam = freeRam;
    return copy;
  }

  public void take(double takenCpus, double takenGpus, double takenRam) {
    freeCpus -= takenCpus;
    freeGpus -= takenGpus;
    freeRam -= takenRam;
  }
}
