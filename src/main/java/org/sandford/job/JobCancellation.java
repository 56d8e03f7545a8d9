package org.sandford.job;

import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.model.ApiResponse;

/** Cancels jobs of this controller's teams for their users. Runs on the event loop. */
final class JobCancellation {
  private final OwnedJobs owned;
  private final JobAnswers answers;
  private final TaskCommands commands;
  private final JobRecords records;

  JobCancellation(OwnedJobs owned, JobAnswers answers, TaskCommands commands, JobRecords records) {
    this.owned = owned;
    this.answers = answers;
    this.commands = commands;
    this.records = records;
  }

  /**
   * Cancels the job and answers once its terminal state is stored. Returns false, without an
   * answer, if the job is not known here.
   */
  boolean cancel(String id, Consumer<ApiResponse> answer) {
    Optional<ApiResponse> terminalAnswer = answers.terminalAnswer(id);
    if (terminalAnswer.isPresent()) {
      answer.accept(terminalAnswer.get());
      return true;
    }
    Job job = owned.job(id);
    if (job == null) {
      return false;
    }
    ApiResponse refusal = owned.refusalFor(job.spec.team());
    if (refusal != null) {
      answer.accept(refusal);
    } else if (job.phase() == Job.Phase.STORING) {
      answer.accept(
          ApiResponse.retryLater(
              503, "the job is just being stored", ApiConstants.RETRY_AFTER_UNAVAILABLE_S));
    } else {
      cancelOwned(job, answer);
    }
    return true;
  }

  private void cancelOwned(Job job, Consumer<ApiResponse> answer) {
    job.cancellationCallbacks.add(answer);
    if (job.phase() == Job.Phase.OPEN && !job.allDone()) {
      job.transitionTo(Job.Phase.CANCELLING);
      job.placements().forEach(placement -> commands.stop(placement, 0));
    }
    records.flush(job);
  }
}
