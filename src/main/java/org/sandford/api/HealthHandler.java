package org.sandford.api;

import org.sandford.cluster.Cluster;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.peer.PeerLinks;
import org.sandford.runtime.Json;

/**
 * Handles {@code GET /up}, by which the load balancer decides whether to route users here.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class HealthHandler {
  private final Cluster cluster;
  private final PeerLinks links;

  /** Creates a handler that checks the membership and the links to other controllers. */
  public HealthHandler(Cluster cluster, PeerLinks links) {
    this.cluster = cluster;
    this.links = links;
  }

  /**
   * Reports healthy if the assignment map is loaded and this controller either holds a valid
   * session lease or can forward requests to another one.
   */
  ApiResponse handle() {
    boolean healthy =
        cluster.assignmentMapLoaded() && (cluster.sessionLeaseValid() || links.anyLive());
    return healthy
        ? ApiResponse.of(HttpStatus.OK, Json.object().put("status", "up"))
        : ApiResponse.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "not ready yet", 1);
  }
}
