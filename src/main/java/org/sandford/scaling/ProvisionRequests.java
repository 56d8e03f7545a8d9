package org.sandford.scaling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sandford.cloud.CloudClient;
import org.sandford.cloud.CloudClient.ProvisionOutcome;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ScalingConstants;
import org.sandford.placement.CandidateMachine;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests for new machines to the cloud. Each request has a unique name, so retries until
 * the outcome is known do not provision twice. Runs on the event loop, on the leader.
 */
final class ProvisionRequests {
  private static final Logger log = LoggerFactory.getLogger(ProvisionRequests.class);

  /** Milliseconds for which a request with an unknown outcome is retried. */
  private static final long RETRY_LIMIT_MS = 60_000;

  /** Milliseconds without new requests after the cloud did not execute one. */
  private static final long NOT_EXECUTED_BACKOFF_MS = 2_000;

  private record ProvisionRequest(String name, InstancePool pool, int machines, long requestedAt) {}

  private final EventLoop loop;
  private final Cluster cluster;
  private final CloudClient cloud;
  private final Map<String, ProvisionRequest> pending = new LinkedHashMap<>();
  private final Map<InstancePool, Long> poolBackoffUntil = new HashMap<>();
  private long backoffUntil;

  ProvisionRequests(EventLoop loop, Cluster cluster, CloudClient cloud) {
    this.loop = loop;
    this.cluster = cluster;
    this.cloud = cloud;
  }

  /** Forgets pending requests; their machines are added from the cloud's list instead. */
  void clear() {
    pending.clear();
  }

  /** Whether every request has been answered. */
  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns how many machines pending requests may provision. */
  int pendingMachines() {
    int machines = 0;
    for (ProvisionRequest request : pending.values()) {
      machines += request.machines;
    }
    return machines;
  }

  /** Adds the machines that pending requests may provision, as empty candidates. */
  void addPendingTo(List<CandidateMachine> candidates, InstanceCatalog catalog) {
    for (ProvisionRequest request : pending.values()) {
      InstancePool pool = request.pool;
      for (int i = 0; i < request.machines; i++) {
        candidates.add(
            catalog.candidate(
                request.name + "/" + i, pool.instanceType(), pool.zone(), pool.spot()));
      }
    }
  }

  /** Whether no request may be sent now because the cloud did not execute an earlier one. */
  boolean isBackingOff(long now) {
    return now < backoffUntil;
  }

  /** Whether the pool recently had no capacity. */
  boolean isExhausted(InstancePool pool, long now) {
    return poolBackoffUntil.getOrDefault(pool, 0L) > now;
  }

  /** Requests machines of a pool, at most as many as one request allows. */
  void provision(InstancePool pool, int requestedMachines, long now) {
    int machines = Math.min(requestedMachines, ScalingConstants.MAX_PROVISIONED_PER_REQUEST);
    ProvisionRequest request =
        new ProvisionRequest(cluster.newProvisionRequestId(), pool, machines, now);
    pending.put(request.name, request);
    log.info(
        "machines requested count={} instance_type={} zone={} spot={}",
        machines,
        pool.instanceType(),
        pool.zone(),
        pool.spot());
    send(request);
  }

  private void send(ProvisionRequest request) {
    cloud.provision(
        request.name,
        request.pool.instanceType(),
        request.pool.zone(),
        request.pool.spot(),
        request.machines,
        (outcome, machineNames) -> handleOutcome(request, outcome, machineNames));
  }

  private void handleOutcome(
      ProvisionRequest request, ProvisionOutcome outcome, List<String> machineNames) {
    long now = loop.millis();
    if (outcome == ProvisionOutcome.UNKNOWN
        && pending.containsKey(request.name)
        && now - request.requestedAt < RETRY_LIMIT_MS) {
      // The name makes the retry idempotent: its answer lists what the first attempt provisioned.
      loop.after(ScalingConstants.SCALING_CHECK_MS, () -> send(request));
      return;
    }
    pending.remove(request.name);
    InstancePool pool = request.pool;
    boolean provisioned = outcome == ProvisionOutcome.PROVISIONED;
    if (provisioned) {
      machineNames.forEach(
          machineName ->
              cluster.addMachine(
                  new Cluster.NewMachine(
                      machineName, "", pool.instanceType(), pool.zone(), pool.spot())));
    }
    if (outcome == ProvisionOutcome.NO_CAPACITY
        || (provisioned && machineNames.size() < request.machines)) {
      poolBackoffUntil.put(pool, now + ScalingConstants.POOL_BACKOFF_MS);
    } else if (outcome == ProvisionOutcome.NOT_EXECUTED) {
      backoffUntil = now + NOT_EXECUTED_BACKOFF_MS;
    }
  }
}
