package org.sandford.machine;

import java.util.HashMap;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.TeamAssignment;

/**
 * The latest generation of each team's ownership that is known here. Requests of an earlier owner
 * are refused. Runs on the event loop.
 */
final class TeamGenerations {
  private final Map<String, Long> latest = new HashMap<>();

  /** Whether a request of this generation may be carried out; if so, no earlier one may be. */
  boolean accept(String team, long generation) {
    if (generation < latest.getOrDefault(team, 0L)) {
      return false;
    }
    latest.put(team, generation);
    return true;
  }

  /** Takes in the generations of the assignment map. */
  void updateFrom(Map<String, TeamAssignment> teams) {
    teams.forEach((team, owner) -> latest.merge(team, owner.generation(), Math::max));
  }
}
