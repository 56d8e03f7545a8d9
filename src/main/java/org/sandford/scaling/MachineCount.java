package org.sandford.scaling;

/** Counts the machines of a zone or an owner that came up, and how many of them are lost. */
final class MachineCount {
  private int total;
  private int lost;

  void add(boolean isLost) {
    total++;
    lost += isLost ? 1 : 0;
  }

  int total() {
    return total;
  }

  int lost() {
    return lost;
  }
}
