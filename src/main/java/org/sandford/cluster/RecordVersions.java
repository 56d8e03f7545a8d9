package org.sandford.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sandford.constants.ClusterConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;
import org.sandford.store.ListResult;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines which version of stored records every configured controller supports. A controller
 * announces its version together with its incarnation, so the announcement outlives the process and
 * is replaced by whichever version starts next, newer or older. Runs on the event loop.
 *
 * <p>A record that an older version would misread may be written only once all controllers, even
 * those that are down, have announced a version that supports it: a controller that stops before
 * its upgrade would come back with the old version. This condition is always met in the end: an
 * upgrade starts each controller once with the new version, and its announcement stays.
 */
public final class RecordVersions {
  private static final Logger log = LoggerFactory.getLogger(RecordVersions.class);

  /** Prefix of the controllers' incarnations in the store, followed by the label. */
  static final String INCARNATION_PREFIX = "inc/";

  private static final String INCARNATION_FIELD = "n";
  private static final String VERSION_FIELD = "v";

  private final EventLoop loop;
  private final StoreClient store;
  private final Set<String> controllerLabels = new HashSet<>();
  private boolean allSupportGangs;

  /** Creates an instance that assumes the oldest version; {@link #start} begins to read. */
  public RecordVersions(EventLoop loop, Settings settings, StoreClient store) {
    this.loop = loop;
    this.store = store;
    controllerLabels.add(settings.label());
    settings.peers().forEach(peer -> controllerLabels.add(peer.label()));
  }

  /**
   * Returns the record of an incarnation of this version; versions without gangs read only its
   * number.
   */
  static ObjectNode announcement(long incarnation) {
    return Json.object()
        .put(INCARNATION_FIELD, incarnation)
        .put(VERSION_FIELD, ClusterConstants.RECORD_VERSION);
  }

  /** Reads the announcements periodically until all controllers support gangs. */
  public void start() {
    poll();
  }

  /** Returns whether every controller can read records of gangs. Once true, it stays true. */
  public boolean allSupportGangs() {
    return allSupportGangs;
  }

  private void poll() {
    store.list(
        INCARNATION_PREFIX,
        result -> {
          if (result instanceof ListResult.Listed listed) {
            checkVersions(listed.entries());
          }
          if (!allSupportGangs) {
            loop.after(ClusterConstants.RECORD_VERSIONS_POLL_MS, this::poll);
          }
        });
  }

  private void checkVersions(List<Entry> entries) {
    Map<String, Integer> versions = new HashMap<>();
    for (Entry entry : entries) {
      String label = entry.key().substring(INCARNATION_PREFIX.length());
      versions.put(label, entry.value().path(VERSION_FIELD).asInt(1));
    }
    allSupportGangs =
        controllerLabels.stream()
            .allMatch(
                label -> versions.getOrDefault(label, 0) >= ClusterConstants.RECORD_VERSION_GANGS);
    if (allSupportGangs) {
      log.info(
          "gangs accepted, known to all controllers record_version={}",
          ClusterConstants.RECORD_VERSION_GANGS);
    }
  }
}
