package org.sandford.audit;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts each decision that guarantees to users depend on. A line is {@code EVENT
 * key=value ...} in a fixed order, without spaces in values, under the logger {@code
 * org.sandford.audit.AuditLog}. Changes of leadership and of ownership are rare and logged at
 * {@code info}. Other events, such as answers and starts, occur many times a second and are logged
 * at {@code debug}. Events are counted at every log level.
 */
public final class AuditLog {
  private static final Logger log = LoggerFactory.getLogger(AuditLog.class);

  /** How this controller learned a terminal state. */
  public enum LearnedBy {
    /** From the watch of the store. */
    WATCH,
    /** From a read of the store. */
    READ,
    /** From another controller. */
    PEER
  }

  /**
   * The authority by which a machine's owner acts.
   *
   * @param session the incarnation id under whose session lease the machine is owned
   * @param token the fencing token that the worker agent was given
   * @param machineGeneration the machine's generation in the assignment map
   */
  public record Authority(String session, long token, long machineGeneration) {
    private String logFields() {
      return "session=" + session + " token=" + token + " machine_generation=" + machineGeneration;
    }
  }

  private final Map<String, Long> counts = new TreeMap<>();

  private void increment(String event) {
    counts.merge(event, 1L, Long::sum);
  }

  /** Returns the counters since the start as {@code key=value} pairs, sorted by name. */
  public String counters() {
    StringBuilder text = new StringBuilder();
    counts.forEach(
        (event, count) ->
            text.append(text.isEmpty() ? "" : " ").append(event).append('=').append(count));
    return text.toString();
  }

  /** Records that another incarnation leads now, or none if {@code leader} is empty. */
  public void leaderChanged(String leader, long revision) {
    increment("leaders");
    log.info("leader id={} revision={}", leader.isEmpty() ? "none" : leader, revision);
  }

  /** Records that this controller owns the team from now on. */
  public void teamAcquired(String team, long generation, String session, long mapRevision) {
    increment("teams_gained");
    log.info(
        "own team={} generation={} session={} map_revision={}",
        team,
        generation,
        session,
        mapRevision);
  }

  /** Records that this controller no longer owns the team. */
  public void teamRelinquished(String team, long generation, String reason) {
    increment("teams_lost");
    log.info("disown team={} generation={} why={}", team, generation, reason);
  }

  /** Records that this leader requests the team's owner to hand it over. */
  public void handoverRequested(String team, long generation, String owner) {
    increment("handovers_requested");
    log.debug("request_handover team={} generation={} owner={}", team, generation, owner);
  }

  /**
   * Records that this controller does not carry out a leader's request to hand over a team.
   *
   * @param reason the state of the team here that prevents it
   */
  public void handoverRefused(String team, long generation, String reason) {
    increment("handovers_refused");
    log.debug("refuse_handover team={} generation={} why={}", team, generation, reason);
  }

  /** Records that a request which only the leader may make came from another controller. */
  public void leaderRequestRefused(String sender, String type) {
    increment("requests_not_from_leader");
    log.debug("refuse_request sender={} type={} why=not_from_leader", sender, type);
  }

  /** Records that this controller learned a job's terminal state. */
  public void terminalStateLearned(String job, String state, LearnedBy via, long revision) {
    increment(
        switch (via) {
          case WATCH -> "ends_by_watch";
          case READ -> "ends_by_read";
          case PEER -> "ends_by_peer";
        });
    log.debug("end job={} state={} via={} revision={}", job, state, via, revision);
  }

  /** Records a listing of the open jobs; {@code revision} is the store's at the first page. */
  public void openJobsListed(int jobs, long revision, double durationMs) {
    increment("listings");
    log.debug("list open_jobs={} epoch={} took_ms={}", jobs, revision, durationMs);
  }

  /** Records that a job's terminal state is sent to the store. */
  public void terminalStateSent(String job, String state, long recordRevision, long teamsRevision) {
    increment("ends_written");
    log.debug(
        "write_end job={} state={} record_revision={} teams_revision={}",
        job,
        state,
        recordRevision,
        teamsRevision);
  }

  /** Records an answer to a user. */
  public void answered(String verb, String job, int status, String state, Provenance provenance) {
    increment("answers_" + provenance.kind());
    if (log.isDebugEnabled()) {
      log.debug(
          "answer verb={} job={} status={} state={} basis={} {}",
          verb,
          job,
          status,
          state.isEmpty() ? "none" : state,
          provenance.kind(),
          provenance.logFields());
    }
  }

  /** Records that a team's owner requests a start from a machine's owner. */
  public void startRequested(
      String job, int task, long attempt, String machine, long teamGeneration, String session) {
    increment("starts_asked");
    log.debug(
        "ask_start job={} task={} attempt={} machine={} team_generation={} session={}",
        job,
        task,
        attempt,
        machine,
        teamGeneration,
        session);
  }

  /** Records that a machine's owner accepts a start. */
  public void startAccepted(
      String job, int task, long attempt, String machine, Authority authority) {
    increment("starts_taken");
    logCommand("take_start", job, task, attempt, machine, authority);
  }

  /** Records that a machine's owner stops a task. */
  public void stopped(String job, int task, long attempt, String machine, Authority authority) {
    increment("stops");
    logCommand("stop", job, task, attempt, machine, authority);
  }

  private static void logCommand(
      String event, String job, int task, long attempt, String machine, Authority authority) {
    if (log.isDebugEnabled()) {
      log.debug(
          "{} job={} task={} attempt={} machine={} {}",
          event,
          job,
          task,
          attempt,
          machine,
          authority.logFields());
    }
  }
}
