package org.sandford.settings;

import java.util.List;
import java.util.Map;

/** Validated settings of one controller, from the platform's TOML and the operators' INI file. */
public record Settings(
    String label,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Peer> peers,
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
  public record Peer(String label, String zone, Endpoint address) {}

  /**
   * A team's guarantees and limits in CPUs and accelerators. A guarantee of 0 means none; a limit
   * may be {@link #NO_LIMIT}.
   */
  public record Team(
      String name, double guaranteedCpus, double cpusMax, double guaranteedGpus, double gpusMax) {
    /** The limit of a team that may use everything that other teams leave free. */
    public static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    /** Creates a team from the platform's facts, where a value of 0 means none. */
    public static Team fromFacts(
        String name, double guaranteedCpus, double cpusMax, double guaranteedGpus, double gpusMax) {
      return new Team(
          name, guaranteedCpus, limitOrNone(cpusMax), guaranteedGpus, limitOrNone(gpusMax));
    }

    /** Returns whether the team has any guarantee. */
    public boolean hasGuarantee() {
      return guaranteedCpus > 0 || guaranteedGpus > 0;
    }

    private static double limitOrNone(double factsLimit) {
      return factsLimit == 0 ? NO_LIMIT : factsLimit;
    }
  }

  /**
   * The platform's description of the deployment. Each limit of the store is the smaller of the
   * current one and the one announced in {@code state.next}, which the store may apply at any time.
   */
  public record Facts(
      List<String> zones,
      Map<String, Team> teams,
      double reportS,
      double leaseS,
      double cancelS,
      double gangWaitS,
      double gangPeerS,
      double storeRps,
      double storeWriteRps,
      int storeValueBytes,
      int storeTxnOps,
      double cloudRps,
      double listLagS,
      int sockets,
      int controllers) {}

  /** The settings of the operators' file. */
  public record Operators(int maxMachines, boolean useSpot, double idleDecommissionS) {}
}
