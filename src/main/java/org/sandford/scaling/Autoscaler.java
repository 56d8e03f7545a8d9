package org.sandford.scaling;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.sandford.cloud.CloudClient;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ScalingConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.DemandClass;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;

/**
 * Keeps the fleet as large as the work needs. On the leader a periodic check reconciles the
 * machines with the cloud's, replaces failed machines, scales out for waiting tasks, releases idle
 * machines and drains machines with little work. Other controllers only read the instance types.
 *
 * <p>A later check repeats failed requests to the cloud. All methods run on the event loop.
 */
public final class Autoscaler {
  private final EventLoop loop;
  private final Cluster cluster;
  private final InstanceCatalog catalog;
  private final ClusterDemand clusterDemand;
  private final InstanceInventory inventory;
  private final MachineReplacement replacement;
  private final ProvisionRequests requests;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;
  private final Drain drain;
  private boolean wasLeader;

  /**
   * Creates the autoscaler; it does nothing before {@link #start}.
   *
   * @param ownDemand supplies what waits for resources on this controller
   */
  public Autoscaler(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      CloudClient cloud,
      PeerLinks links,
      MachineSnapshots machineSnapshots,
      Supplier<List<DemandClass>> ownDemand) {
    this.loop = loop;
    this.cluster = cluster;
    Settings.Operators operators = settings.operators();
    UnreachableZones zones = new UnreachableZones();
    catalog = new InstanceCatalog(loop, cloud);
    clusterDemand = new ClusterDemand(loop, ownDemand);
    inventory =
        new InstanceInventory(
            loop, settings.facts().listLagS(), cluster, cloud, machineSnapshots, catalog);
    replacement = new MachineReplacement(cluster, links, machineSnapshots, inventory, zones);
    requests = new ProvisionRequests(loop, cluster, cloud);
    scaleOut =
        new ScaleOut(operators, cluster, machineSnapshots, catalog, inventory, zones, requests);
    scaleIn = new ScaleIn(operators, links, machineSnapshots, catalog);
    drain = new Drain(links, machineSnapshots, catalog);
  }

  /** Reads the instance types and starts the periodic checks. */
  public void start() {
    catalog.read();
    loop.every(ScalingConstants.SCALING_CHECK_MS, this::check);
  }

  /** Returns the instance type of this name, or null if the cloud never offered it. */
  public InstanceType instanceType(String name) {
    return catalog.get(name);
  }

  /** Returns a live view of all instance types by name; empty until the cloud has answered once. */
  public Map<String, InstanceType> instanceTypes() {
    return catalog.all();
  }

  /**
   * Records what waits for resources on another controller. It counts until the next report or
   * until the peer times out.
   *
   * @param from label of the controller
   */
  public void reportDemand(String from, List<DemandClass> classes) {
    clusterDemand.report(from, classes);
  }

  private void check() {
    long now = loop.millis();
    catalog.readIfStale(now);
    if (!cluster.isLeader()) {
      wasLeader = false;
      return;
    }
    if (!wasLeader) {
      wasLeader = true;
      requests.clear();
    }
    inventory.refresh(now);
    replacement.replaceFailed(now);
    inventory.decommissionReleased();
    if (!catalog.isEmpty() && !requests.isBackingOff(now)) {
      provision(now);
    }
    if (inventory.isCloudAvailable()) {
      // A released machine runs no tasks, so none is released while the cloud cannot decommission
      // it.
      scaleIn.releaseIdle(scaleOut.machinesForDemand(), now);
      drain.run(now, () -> !clusterDemand.current(now).isEmpty() || !requests.isEmpty());
    }
  }

  private void provision(long now) {
    Map<InstancePool, Integer> machinesByPool = scaleOut.plan(clusterDemand, now);
    if (machinesByPool.isEmpty() || drain.cancelAll()) {
      return;
    }
    machinesByPool.forEach((pool, machines) -> requests.provision(pool, machines, now));
  }
}
