package org.sandford.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the controllers that are members of the cluster, as read from their keys in the store. Runs
 * on the event loop.
 */
final class ClusterMembers {
  private static final Logger log = LoggerFactory.getLogger(ClusterMembers.class);

  private final Map<String, String> incarnationIdByLabel = new TreeMap<>();

  void removeAll() {
    incarnationIdByLabel.clear();
  }

  /** Adds this controller, which has become a member; its watch reports the same later. */
  void joined(String label, String incarnationId) {
    incarnationIdByLabel.put(label, incarnationId);
  }

  /** Applies a change of a member's key. */
  void apply(String label, KeyChange change) {
    if (change instanceof Entry entry) {
      String id = IncarnationIds.read(entry.value());
      if (!id.equals(incarnationIdByLabel.put(label, id))) {
        log.info("controller joined incarnation={}", id);
      }
      return;
    }
    String departed = incarnationIdByLabel.remove(label);
    if (departed != null) {
      log.info("controller left incarnation={}", departed);
    }
  }

  int size() {
    return incarnationIdByLabel.size();
  }

  boolean contains(String incarnationId) {
    return incarnationIdByLabel.containsValue(incarnationId);
  }

  /** Returns a view of the members' incarnation ids in the order of their labels. */
  Collection<String> ids() {
    return Collections.unmodifiableCollection(incarnationIdByLabel.values());
  }

  /** Returns a sorted copy of the members' incarnation ids. */
  Set<String> sortedIds() {
    return new TreeSet<>(incarnationIdByLabel.values());
  }
}
