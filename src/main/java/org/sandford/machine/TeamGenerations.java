package org.sandford.machine;

import java.util.HashMap;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.TeamAssignment;

/**
 * Tracks the latest known generation of each team's ownership, by which requests of earlier owners
 * are refused. Runs on the event loop.
 */
final class TeamGenerations {
  private final Map<String, Long> latest = new HashMap<>();

  /**
   * Returns whether a request of this generation may be carried out. If so, requests of earlier
   * generations are refused from now on.
   */
  boolean accept(String team, long generation) {
    if (generation < latest.getOrDefault(team, 0L)) {
      return false;
    }
    latest.put(team, generation);
    return true;
  }

  /** Raises the known generations to those of the assignment map. */
  void updateFrom(Map<String, TeamAssignment> teams) {
    teams.forEach((team, owner) -> latest.merge(team, owner.generation(), Math::max));
  }
}
