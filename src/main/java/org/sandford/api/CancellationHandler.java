package org.sandford.api;

import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.job.JobReadResult;
import org.sandford.job.JobReader;
import org.sandford.job.JobScheduler;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;

/**
 * Handles {@code POST /work/{id}/abort}: cancels jobs of teams that this controller owns, and
 * forwards other cancellations to the owner of the job's team.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class CancellationHandler {
  private final JobScheduler jobs;
  private final JobReader jobReader;
  private final OwnerForwarding forwarding;

  /** Creates a handler that reaches other owners through {@code forwarding}. */
  public CancellationHandler(JobScheduler jobs, JobReader jobReader, OwnerForwarding forwarding) {
    this.jobs = jobs;
    this.jobReader = jobReader;
    this.forwarding = forwarding;
  }

  /** Cancels a job; {@code id} must be well formed. */
  void handle(String id, Consumer<ApiResponse> answer) {
    if (jobs.cancel(id, answer)) {
      return;
    }
    String team = jobReader.teamOf(id);
    if (team != null) {
      cancelAtOwner(id, team, answer);
    } else {
      jobReader.read(id, result -> answerFromRead(id, result, answer));
    }
  }

  private void answerFromRead(String id, JobReadResult result, Consumer<ApiResponse> answer) {
    if (result instanceof JobReadResult.Terminal) {
      jobs.answers().terminalAnswer(id).ifPresent(answer);
    } else if (result instanceof JobReadResult.Open open) {
      cancelAtOwner(id, open.spec().team(), answer);
    } else if (result instanceof JobReadResult.Absent) {
      answer.accept(ApiResponse.refusal(HttpStatus.NOT_FOUND, "no job has this id"));
    } else {
      answer.accept(
          ApiResponse.retryLater(
              HttpStatus.SERVICE_UNAVAILABLE, "the job's state is not known just now", 1));
    }
  }

  private void cancelAtOwner(String id, String team, Consumer<ApiResponse> answer) {
    forwarding.cancel(
        id,
        team,
        answer,
        () ->
            answer.accept(
                ApiResponse.retryLater(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "the team's owner does not answer",
                    ApiConstants.RETRY_AFTER_UNAVAILABLE_S)));
  }
}
