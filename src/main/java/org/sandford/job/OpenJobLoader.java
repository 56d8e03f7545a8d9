package org.sandford.job;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sandford.model.JobSpec;
import org.sandford.runtime.EventLoop;
import org.sandford.store.OpenJobReader;
import org.sandford.store.StoreClient.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the open jobs of newly acquired teams from the store. Runs on the event loop. */
final class OpenJobLoader {
  private static final Logger log = LoggerFactory.getLogger(OpenJobLoader.class);

  private final EventLoop loop;
  private final OpenJobReader store;
  private final TerminalStates terminalStates;
  private final OwnedJobs owned;

  OpenJobLoader(
      EventLoop loop, OpenJobReader store, TerminalStates terminalStates, OwnedJobs owned) {
    this.loop = loop;
    this.store = store;
    this.terminalStates = terminalStates;
    this.owned = owned;
  }

  /**
   * Loads the teams' jobs. A team that is acquired during a listing needs a new one: the earlier
   * listing may show jobs that the former owner has ended since, and lack jobs that it accepted and
   * started.
   *
   * @param whenLoaded gets the ids of the adopted jobs
   */
  void load(List<Team> acquired, Consumer<Set<String>> whenLoaded) {
    store.listOpenJobs(
        openJobs -> {
          Set<String> adoptedIds = new HashSet<>();
          for (Team team : acquired) {
            if (owned.team(team.name) == team && team.phase() == Team.Phase.LOADING) {
              adoptJobs(team, openJobs, adoptedIds);
              team.transitionTo(Team.Phase.RECOVERING);
              log.info("open jobs loaded team={} jobs={}", team.name, team.jobs.size());
            }
          }
          whenLoaded.accept(adoptedIds);
        });
  }

  private void adoptJobs(Team team, Map<String, Entry> openJobs, Set<String> adoptedIds) {
    openJobs.forEach(
        (id, entry) -> {
          JobSpec spec = OpenJobReader.readSpec(id, entry.value());
          // The listing may be older than a terminal state that became known meanwhile.
          if (spec.team().equals(team.name)
              && !owned.contains(id)
              && !terminalStates.contains(id)) {
            owned.add(team, inheritedJob(spec, entry));
            adoptedIds.add(id);
          }
        });
  }

  private Job inheritedJob(JobSpec spec, Entry entry) {
    return Job.inherited(JobRecordCodec.openJob(spec, entry), loop.nanos());
  }
}
