package org.sandford.job;

import org.sandford.constants.JobConstants;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes jobs whose terminal state is stored: answers their users and stops their remaining
 * tasks. A job counts against its team's quota until its tasks are off their machines. Runs on the
 * event loop.
 */
final class JobTermination {
  private static final Logger log = LoggerFactory.getLogger(JobTermination.class);

  private final EventLoop loop;
  private final OwnedJobs owned;
  private final TerminalStates terminalStates;
  private final JobAnswers answers;
  private final CancelledJobs cancelled;
  private final TaskCommands commands;
  private final PlanningTimer timer;

  JobTermination(
      EventLoop loop,
      OwnedJobs owned,
      TerminalStates terminalStates,
      JobAnswers answers,
      CancelledJobs cancelled,
      TaskCommands commands,
      PlanningTimer timer) {
    this.loop = loop;
    this.owned = owned;
    this.terminalStates = terminalStates;
    this.answers = answers;
    this.cancelled = cancelled;
    this.commands = commands;
    this.timer = timer;
  }

  /**
   * Completes a job whose terminal state is stored: answers its cancellations, and stops tasks that
   * are left on machines.
   */
  void complete(Job job, TerminalState state) {
    job.transitionTo(state == TerminalState.DONE ? Job.Phase.DONE : Job.Phase.CANCELLED);
    log.debug("job ended job={} state={}", job.spec.id(), state.wireName());
    if (job.phase() == Job.Phase.CANCELLED) {
      cancelled.add(job.spec.id(), job.spec.team(), job.spec.tasks());
    }
    terminalStates.put(job.spec.id(), state);
    answers
        .terminalAnswer(job.spec.id())
        .ifPresent(answer -> JobRecords.answerCancellations(job, answer));
    stopAllTasks(job);
    job.exitsToAcknowledge.forEach(
        exit -> commands.acknowledgeExit(job, exit.machine(), exit.task(), exit.attempt()));
    if (job.placementCount() == 0) {
      owned.remove(job);
    } else {
      stopUntilReleased(job);
    }
    timer.requestRound();
  }

  /** Repeats the stops until every task is known to be off its machine. */
  private void stopUntilReleased(Job job) {
    if (job.placementCount() == 0 || !owned.isCurrent(job)) {
      owned.remove(job);
      timer.requestRound();
      return;
    }
    loop.after(
        JobConstants.PLAN_IDLE_MS,
        () -> {
          if (owned.isCurrent(job)) {
            stopAllTasks(job);
            stopUntilReleased(job);
          }
        });
  }

  private void stopAllTasks(Job job) {
    job.placements().forEach(placement -> commands.stop(placement, 0));
  }
}
