package org.sandford;

/**
 * Every constant of the service, with its unit and the reason for its value. What belongs to a
 * deployment (periods, limits, teams) comes from the facts of the settings and never stands here.
 */
public final class Constants {
  private Constants() {}

  // --- time -------------------------------------------------------------------------------------

  /** Share by which two steady clocks may differ, doubled: both ends of a bound may be off. */
  public static final double CLOCK_DRIFT = 0.001;

  /** Seconds added to bounds that end in a kill: timers go off late when the processor is short. */
  public static final double KILL_MARGIN_S = 1.5;

  /**
   * Milliseconds for which events gather while many come: far below what users and workers wait
   * for.
   */
  public static final int PACE_MS = 20;

  /** Times that pace between two rounds of events above which events count as few. */
  public static final int PACE_BELOW = 2;

  // --- share: hold, leadership, map
  // ---------------------------------------------------------------

  /**
   * Milliseconds a hold lasts: short enough to notice a lost controller, long enough for a slow
   * store.
   */
  public static final int HOLD_TTL_MS = 3_000;

  /** Milliseconds between renewals: three fit into a hold, so that one may be lost. */
  public static final int HOLD_RENEW_MS = 900;

  /** Milliseconds waited for one renewal before the next is sent. */
  public static final int HOLD_CALL_MS = 800;

  /**
   * Milliseconds taken off the end of a hold before acting on it: work that is already under way.
   */
  public static final int HOLD_MARGIN_MS = 250;

  /** Milliseconds the store may hold a watch open; each answer proves the watch is fresh. */
  public static final int WATCH_BLOCK_MS = 1_500;

  /** Milliseconds after which an unanswered watch is given up and opened anew. */
  public static final int WATCH_CALL_MS = 4_000;

  /** Milliseconds between two looks of the leader at the map when nothing happens. */
  public static final int LEADER_TICK_MS = 500;

  /** Milliseconds a new leader waits for all controllers before it assigns what has no owner. */
  public static final int LEADER_PATIENCE_MS = 1_500;

  /** Milliseconds a leader that is alone waits for others before it takes over everything. */
  public static final int LEADER_ALONE_MS = 500;

  /**
   * Machines the leader moves between shares in one go at the least: each move costs a new token.
   */
  public static final int MACHINES_MOVED_AT_ONCE = 3;

  /**
   * Share of a surplus that is moved in one go: a large fleet is level after as many moves as a
   * small one.
   */
  public static final double SURPLUS_MOVED_AT_ONCE = 0.34;

  /**
   * Milliseconds between two ordinary writes of the map at the least: what arrives within goes
   * together.
   */
  public static final int MAP_PAUSE_MS = 250;

  /**
   * Share of the store's changes that ordinary writes of the map may use; records need the rest.
   */
  public static final double MAP_RATE_SHARE = 0.4;

  /**
   * Milliseconds that an ordinary write of the map waits at the most for the store to have rate to
   * spare.
   */
  public static final int MAP_LATE_MS = 2_000;

  /**
   * Bytes of one machine in its part of the map: name, generation, address and two places in
   * tables.
   */
  public static final int MAP_ENTRY_BYTES = 56;

  /**
   * Share of the store's value limit up to which a part of the map is filled; tables take the rest.
   */
  public static final double MAP_PART_FILL = 0.8;

  /**
   * Share of the store's value limit above which a part of the map is split: new owners make it a
   * little larger.
   */
  public static final double MAP_SPLIT_SHARE = 0.9;

  /** Milliseconds between two moves: the shares' owners report their room in between. */
  public static final int MOVE_PAUSE_MS = 4_000;

  /**
   * The version of stored records that this program reads and writes. 1 knows arrays and services
   * only and is not announced; 2 knows gangs.
   */
  public static final int RECORD_VERSION = 2;

  /** The first version of records in which a job may be a gang. */
  public static final int RECORD_VERSION_GANGS = 2;

  /**
   * Milliseconds between two looks at the versions that the controllers announced, until all know
   * this one.
   */
  public static final int VERSIONS_LOOK_MS = 2_000;

  // --- state service
  // ------------------------------------------------------------------------------

  /**
   * Share of the store's rates one controller allows itself; bursts of one rarely meet the others'.
   */
  public static final double STATE_RATE_SHARE = 0.6;

  /**
   * Milliseconds waited for an ordinary answer of the store: now and then it takes a few hundred.
   */
  public static final int STATE_CALL_MS = 1_500;

  /** Milliseconds before a request that the store refused (429, 503) is sent again. */
  public static final int STATE_RETRY_MS = 200;

  /** Share of a full bucket that is enough for a request of any size to go. */
  public static final double BUCKET_ENOUGH_SHARE = 0.25;

  /**
   * Times a request is sent at the most that the store refuses for its rate: it was not carried
   * out.
   */
  public static final int STATE_BUSY_TRIES = 5;

  /** Share of a second's changes that must be left over before writes go that can wait. */
  public static final double STATE_SPARE_SHARE = 0.5;

  /**
   * Bytes of a transaction's body that are used of the protocol's 64 KiB; the rest is for its
   * frame.
   */
  public static final int TXN_BYTES = 56 * 1024;

  /** Transactions of job records in flight at once: more would only wait in the store. */
  public static final int TXNS_IN_FLIGHT = 4;

  /** Items asked for in one listing of the store, the protocol's most. */
  public static final int STORE_PAGE = 1_000;

  // --- peers
  // ----------------------------------------------------------------------------------------

  /** Milliseconds between two signs of life on a peer link. */
  public static final int PEER_BEAT_MS = 700;

  /** Milliseconds of silence after which a peer link is closed and dialled anew. */
  public static final int PEER_SILENCE_MS = 3_000;

  /** Milliseconds between two attempts to dial a peer. */
  public static final int PEER_REDIAL_MS = 500;

  /** Milliseconds allowed for a connection to be made, inside the cluster. */
  public static final int CONNECT_MS = 1_000;

  /** Bytes of the largest frame taken from a peer: the views of a whole share fit many times. */
  public static final int PEER_FRAME_BYTES = 4 * 1024 * 1024;

  /** Frames written to a peer in one go before they leave in any case: a burst of starts fits. */
  public static final int PEER_FLUSHES_TOGETHER = 256;

  /** Bytes queued for a peer that does not read, after which the link is closed. */
  public static final int PEER_BACKLOG_BYTES = 2 * 1024 * 1024;

  // --- cancellations
  // --------------------------------------------------------------------------------

  /**
   * Cancellations told to users that are kept for other controllers to read: many minutes' worth.
   */
  public static final int CANCELLATIONS_KEPT = 4_096;

  /**
   * Seconds for which the end of a job is surely remembered: longer than any of its tasks can go
   * on.
   */
  public static final double ENDS_REMEMBERED_S = 300.0;

  // --- users
  // ------------------------------------------------------------------------------------------

  /** Bytes of a request body, the protocol's most. */
  public static final int BODY_BYTES = 64 * 1024;

  /** Tasks of one job, the protocol's most. */
  public static final int MAX_TASKS = 100_000;

  /**
   * Milliseconds a forwarded call may take before another way is tried; the owner usually needs 20.
   */
  public static final int FORWARD_MS = 700;

  /**
   * Milliseconds after which a poll is answered with 503 when nothing surer is known: users wait 2
   * s for an answer.
   */
  public static final int POLL_ANSWER_MS = 1_600;

  /**
   * Milliseconds after which a submission or a cancellation is answered with 503 when its outcome
   * is not known: users wait 5 s for an answer.
   */
  public static final int CHANGE_ANSWER_MS = 4_000;

  /**
   * Seconds' worth of reads at the store's rate that may wait to be sent: a user's question takes
   * two, and users give up after 2 s.
   */
  public static final double READS_WAITING_S = 0.5;

  /** Seconds in {@code Retry-After} when authority is missing: about the time of a takeover. */
  public static final int RETRY_AUTHORITY_S = 1;

  /** Seconds in {@code Retry-After} under overload. */
  public static final int RETRY_OVERLOAD_S = 2;

  /** Seconds' worth of records waiting for the store beyond which a user is told to come back. */
  public static final double SUBMISSIONS_WAITING_S = 1.5;

  /** Entries of the cache of final answers; each is small, and the store has the rest. */
  public static final int FINALS_CACHED = 20_000;

  /** Entries of the cache that tells which team a job belongs to. */
  public static final int TEAMS_CACHED = 20_000;

  /**
   * Share of the sockets for commands to workers: those of a share fit, and a takeover goes in
   * turns.
   */
  public static final double SOCKETS_TO_WORKERS = 0.25;

  /** Sockets kept back for peers, the store, the cloud and what is just being closed. */
  public static final int SOCKETS_RESERVED = 48;

  /**
   * Share of the users' and workers' connections that workers may keep open; the rest is left to
   * users.
   */
  public static final double SOCKETS_OF_WORKERS = 0.75;

  /**
   * Connections beyond the room that are still answered and then closed; fewer than are reserved.
   */
  public static final int SOCKETS_OVERDRAWN = 24;

  /**
   * Connections that may wait to be taken: after a takeover a whole fleet comes within a second.
   */
  public static final int BACKLOG = 1_024;

  /** Where workers' reports go, which tells their connections from users'. */
  public static final String REPORTS_PATH = "/hello";

  /** Sockets when the facts name no limit. */
  public static final int DEFAULT_SOCKETS = 1_024;

  // --- workers
  // ------------------------------------------------------------------------------------------

  /** Report periods of silence after which a machine counts as lost in any case. */
  public static final double LOST_PERIODS = 3.5;

  /** Times the report period that may lie between two reports by the protocol. */
  public static final double REPORT_SPREAD = 1.25;

  /** Seconds beyond that after which a report is overdue and its worker is asked. */
  public static final double OVERDUE_S = 0.7;

  /** Milliseconds waited for a worker that is asked because its report is overdue. */
  public static final int PROBE_CALL_MS = 1_000;

  /** Milliseconds waited for a worker's answer to direct commands. */
  public static final int COMMAND_CALL_MS = 1_500;

  /** Milliseconds between attempts to raise the token of a machine that was taken over. */
  public static final int SYNC_RETRY_MS = 700;

  /** Fencing tokens of one generation: an owner may raise its token so often by itself. */
  public static final long TOKENS_PER_GENERATION = 1L << 16;

  /**
   * Seconds a silent machine of a former owner must be left before its tasks are surely over,
   * beyond cancel_s.
   */
  public static final double FOREIGN_LEASE_EXTRA_S = 2.0;

  /**
   * Milliseconds between two listings of open jobs for tasks of unknown jobs: a takeover asks for
   * many.
   */
  public static final int LEARN_PAUSE_MS = 700;

  /**
   * Distinct jobs that must fail on a machine, with none done in between, until it counts as
   * faulty.
   */
  public static final int FAULTY_JOBS = 2;

  /** Images remembered for a machine; the worker keeps the most recently used ones. */
  public static final int IMAGES_REMEMBERED = 24;

  /**
   * Milliseconds between two publications of changed views: changes within are sent together. Each
   * goes to every controller; users wait for seconds.
   */
  public static final int PUBLISH_MS = 120;

  /** Milliseconds between two looks for machines that are silent or wait for commands. */
  public static final int FLEET_TICK_MS = 250;

  /** Milliseconds between two goes of telling machines anew that did not change. */
  public static final int REFRESH_MS = 1_000;

  /** Milliseconds in which all machines are told anew: what was missed is made up by then. */
  public static final int REFRESHED_MS = 30_000;

  // --- jobs
  // ------------------------------------------------------------------------------------------------

  /**
   * Milliseconds after which finished tasks are stored: most jobs are done by then, and their end
   * says it all. A task whose end is not stored is asked for again, and its worker's result is
   * kept.
   */
  public static final int PROGRESS_MS = 8_000;

  /**
   * Milliseconds between two planning rounds at the least: what arrives within is planned together.
   */
  public static final int PLAN_MS = 40;

  /**
   * Share of the time that planning rounds may take; reports and users need the rest of the
   * processor.
   */
  public static final double PLAN_TIME_SHARE = 0.1;

  /** Milliseconds between two looks through the fleet for tasks that may be stopped. */
  public static final int PREEMPT_LOOK_MS = 250;

  /**
   * Jobs that may look for others to stop in one planning round: each look goes through the fleet.
   */
  public static final int PREEMPT_SEARCHES = 4;

  /**
   * Milliseconds between two looks at jobs that were stored for a team's owner and not taken up
   * yet.
   */
  public static final int ADDED_LOOK_MS = 1_000;

  /** Milliseconds between two checks that no open job of a team is unknown to its owner. */
  public static final int AUDIT_MS = 40_000;

  /** Milliseconds between planning rounds when nothing happens. */
  public static final int PLAN_IDLE_MS = 500;

  /** Milliseconds after which a task that a machine refused is tried again. */
  public static final int REFUSED_RETRY_MS = 300;

  /** Milliseconds of the first pause after a task failed; it doubles per failure in a row. */
  public static final int ERROR_BACKOFF_MS = 500;

  /** Milliseconds of the longest pause after failures: a job that fails everywhere costs little. */
  public static final int ERROR_BACKOFF_MAX_MS = 60_000;

  /**
   * Attempts of one team generation: the generation stands above them, so attempts rise for ever.
   */
  public static final long ATTEMPTS_PER_GENERATION = 1L << 24;

  /** Milliseconds a job that asked for preemption waits before it asks again. */
  public static final int PREEMPT_PAUSE_MS = 1_500;

  /**
   * Milliseconds a machine keeps room that was made for a job: stopping and the next plan fit in.
   */
  public static final int KEEP_ROOM_MS = 2_500;

  /** Seconds after which a job that waits for room for all its tasks has free room kept for it. */
  public static final double GATHER_AFTER_S = 40.0;

  /** Milliseconds between two askings for that: less than room is kept. */
  public static final int GATHER_MS = 1_800;

  /**
   * Seconds after which a job that waits is started in parts, with the room that there is: users
   * allow a job 90 s beside a machine that has room, of which the next looks and a machine's boot
   * take some.
   */
  public static final double PARTS_AFTER_S = 60.0;

  /** Seconds a stopped task gets to save; one that never saves ends at once. */
  public static final int PREEMPT_GRACE_S = 10;

  /** Milliseconds between two replicas that one controller moves: each is down for a moment. */
  public static final int MOVE_REPLICA_MS = 1_500;

  // --- gangs
  // -------------------------------------------------------------------------------------------------

  /** Seconds a gang's task waits for the others when the facts say nothing: the usual setting. */
  public static final double DEFAULT_GANG_WAIT_S = 30.0;

  /** Seconds within which a gang's tasks notice that one is gone when the facts say nothing. */
  public static final double DEFAULT_GANG_PEER_S = 8.0;

  /**
   * Share of {@code gang_wait_s} after which a gang that does not run yet is withdrawn: its tasks
   * would exit one by one soon after, and occupy their machines until then.
   */
  public static final double GANG_START_SHARE = 0.8;

  /**
   * Seconds, beyond the grace, for an orderly stop of a gang before its tasks are stopped at once.
   */
  public static final double GANG_STOP_EXTRA_S = 2.0;

  /**
   * Milliseconds of the first pause after a gang's attempt that never ran; it doubles per failure
   * in a row.
   */
  public static final int GANG_BACKOFF_MS = 300;

  /** Milliseconds of the longest such pause: users wait for the gang. */
  public static final int GANG_BACKOFF_MAX_MS = 5_000;

  /**
   * Milliseconds between two looks at gangs that have places: for late starts and stops to repeat.
   */
  public static final int GANG_LOOK_MS = 500;

  /**
   * Seconds after which a gang that waits has free room kept for it; it needs all of it at once.
   */
  public static final double GANG_GATHER_AFTER_S = 2.0;

  /**
   * Seconds for which a gang counts as having just come up: it is stopped for others later than one
   * that runs for longer.
   */
  public static final double GANG_SETTLED_S = 30.0;

  /**
   * Milliseconds between reserving places for a gang and starting it: by then the other controllers
   * have seen the reservations and start nothing there.
   */
  public static final int GANG_RESERVE_MS = 180;

  // --- placement
  // -----------------------------------------------------------------------------------------------

  /** Weight of the plan's cost against fitness; the design's starting value. */
  public static final double LAMBDA = 0.5;

  /** Cost of each machine of a plan beyond the first; the design's starting value. */
  public static final double COST_MACHINE = 1.0;

  /**
   * Cost of each zone of a plan beyond the first, standing for racks; the design's starting value.
   */
  public static final double COST_ZONE = 4.0;

  /**
   * Cost, for a service, of a machine that lacks its image: users wait for the fetch. Not in the
   * design; for arrays it spread work over more machines and gained nothing.
   */
  public static final double COST_FETCH = 2.0;

  /** The same for arrays: less than an extra machine, so that packing comes first. */
  public static final double COST_FETCH_ARRAY = 0.6;

  /**
   * Cost, for work that may use spot machines, of an ordinary one: it is left to services, so that
   * it can be emptied and given back. Not in the design, which knows no prices.
   */
  public static final double COST_ORDINARY = 2.0;

  /** Amounts closer than this are equal: sums of decimal amounts are not exact. */
  public static final double EPSILON = 1e-6;

  // --- capacity
  // ---------------------------------------------------------------------------------------------------

  /** Milliseconds between two looks at renting and returning. */
  public static final int CAPACITY_TICK_MS = 500;

  /** Milliseconds between two readings of the machine list. */
  public static final int LIST_MS = 4_000;

  /** Milliseconds between two readings of kinds and prices. */
  public static final int FLAVORS_MS = 30_000;

  /** Milliseconds waited for the cloud. */
  public static final int CLOUD_CALL_MS = 8_000;

  /** Share of the cloud's rate that is used; the rest is for a second leader during a takeover. */
  public static final double CLOUD_RATE_SHARE = 0.7;

  /** Machines in one rental request, the protocol's most. */
  public static final int HIRE_MOST = 50;

  /** Names in one return, the protocol's most. */
  public static final int RETURN_MOST = 100;

  /** Items in one page of the machine list, the protocol's most. */
  public static final int LIST_PAGE = 500;

  /** Milliseconds before a return that was not answered is asked for again. */
  public static final int RETURN_RETRY_MS = 1_500;

  /** Milliseconds a pool without capacity is left alone. */
  public static final int POOL_PAUSE_MS = 12_000;

  /** Times the nominal boot time after which a machine that never reported is given back. */
  public static final double BOOT_PATIENCE = 3.0;

  /** Seconds added to that: short boot times vary more. */
  public static final double BOOT_PATIENCE_S = 20.0;

  /**
   * Seconds an empty machine is kept: less than a boot, since keeping it longer costs more than a
   * new one.
   */
  public static final double IDLE_RETURN_S = 18.0;

  /** Milliseconds a machine may take to become empty before it is kept after all. */
  public static final int VACATE_MS = 60_000;

  /** Machines being emptied at once, at the least: the others must hold what moves. */
  public static final int VACATED_AT_ONCE = 2;

  /** Share of a large fleet that is emptied at once. */
  public static final double VACATED_SHARE = 0.04;

  /** Share of its processors in use below which emptying a machine may pay. */
  public static final double VACATE_BELOW = 0.5;

  /**
   * Tasks of one CPU by whose price the machines for that are chosen: a few, as a service asks for.
   */
  public static final int HEADROOM_TASKS = 4;

  /** Share of the fleet's processors kept free for work that may not wait. */
  public static final double HEADROOM_SHARE = 0.08;

  /** Seconds after a removal in which an older list may still show the machine. */
  public static final double REMOVED_REMEMBERED_S = 120.0;

  /** Machines rented at the most when the operators set nothing. */
  public static final int DEFAULT_MAX_MACHINES = 5_000;

  /** Faulty or lost machines given back at once: a bad job must not empty the fleet. */
  public static final int FAULTY_RETURNED_AT_ONCE = 2;

  /** Share of a zone's machines that are silent at once when the zone counts as cut off. */
  public static final double CUT_ZONE_SHARE = 0.6;

  /** Machines that are silent at the least then: a few may well have died. */
  public static final int CUT_ZONE_LEAST = 5;

  /**
   * Milliseconds in which it shows whether a zone is silent as a whole: its other machines are
   * asked meanwhile.
   */
  public static final int CUT_ZONE_DOUBT_MS = 2_500;

  /** Machines of a zone and a share that are lost when the zone's others are asked. */
  public static final int ZONE_PROBE_LOST = 2;

  /** Milliseconds between two askings of a whole zone: each machine gets a question. */
  public static final int ZONE_PROBE_PAUSE_MS = 6_000;

  /**
   * Milliseconds for which a cut zone's machines are kept: cuts last a minute, and a dead zone
   * costs no more.
   */
  public static final int CUT_ZONE_MS = 90_000;

  /** Milliseconds between two summaries in the log. */
  public static final int SUMMARY_MS = 30_000;
}
