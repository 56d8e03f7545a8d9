package org.sandford.settings;

import java.util.List;
import java.util.Map;

/** Checked settings of one controller: the platform's TOML and the operators' INI together. */
public record Settings(
    String label,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Other> others,
    Endpoint cloud,
    Endpoint store,
    Facts facts,
    Operators operators) {

  /** A host and a TCP port. */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller of the cluster, with the address of its peer port. */
  public record Other(String label, String zone, Endpoint address) {}

  /**
   * A team's guarantee and limit, in CPUs and accelerators. A guarantee of 0 is none; a limit may
   * be {@link #NO_LIMIT}.
   */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** The limit of a team that may use all that others leave. */
    public static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    /** A team as the platform's facts give it, where a value of 0 means none. */
    public static Team ofFacts(
        String name, double cpus, double cpusMax, double gpus, double gpusMax) {
      return new Team(name, cpus, limitOrNone(cpusMax), gpus, limitOrNone(gpusMax));
    }

    /** Whether anything is guaranteed to the team. */
    public boolean hasGuarantee() {
      return cpus > 0 || gpus > 0;
    }

    private static double limitOrNone(double factsLimit) {
      return factsLimit == 0 ? NO_LIMIT : factsLimit;
    }
  }

  /**
   * What the platform tells of the deployment. The store's limits are the smaller of those in force
   * and those announced in {@code state.next}, since the store may change to the latter at any
   * moment.
   */
  public record Facts(
      List<String> zones,
      Map<String, Team> teams,
      double reportS,
      double leaseS,
      double cancelS,
      double gangWaitS,
      double gangPeerS,
      double stateRps,
      double stateWriteRps,
      int stateValueBytes,
      int stateTxnOps,
      double cloudRps,
      double listLagS,
      int sockets,
      int controllers) {}

  /** What the operators may set beside the platform's file. */
  public record Operators(int maxMachines, boolean useSpot, double idleReturnS) {}
}
