package org.sandford.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.sandford.cluster.RecordVersions;
import org.sandford.constants.ApiConstants;
import org.sandford.job.JobReader;
import org.sandford.job.JobScheduler;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.model.JobSpec;
import org.sandford.scaling.Autoscaler;
import org.sandford.settings.Settings;

/**
 * Handles {@code POST /work}: validates the job and submits it to the owner of its team. If the
 * owner is unreachable or answers 503, this controller stores the job on the owner's behalf.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class SubmissionHandler {
  private final Settings settings;
  private final Autoscaler autoscaler;
  private final RecordVersions recordVersions;
  private final JobScheduler jobs;
  private final JobReader jobReader;
  private final OwnerForwarding forwarding;

  /** Creates a handler that checks jobs against the instance types of {@code autoscaler}. */
  public SubmissionHandler(
      Settings settings,
      Autoscaler autoscaler,
      RecordVersions recordVersions,
      JobScheduler jobs,
      JobReader jobReader,
      OwnerForwarding forwarding) {
    this.settings = settings;
    this.autoscaler = autoscaler;
    this.recordVersions = recordVersions;
    this.jobs = jobs;
    this.jobReader = jobReader;
    this.forwarding = forwarding;
  }

  /** Handles a submission; {@code body} is a missing node if it was not JSON. */
  void handle(JsonNode body, Consumer<ApiResponse> answer) {
    JobSpec spec;
    try {
      spec = JobParser.parse(body);
      if (autoscaler.instanceTypes().isEmpty()) {
        answer.accept(
            ApiResponse.retryLater(
                HttpStatus.SERVICE_UNAVAILABLE, "the machine types are not known yet", 1));
        return;
      }
      JobFeasibility.check(spec, settings.facts().teams(), autoscaler.instanceTypes());
    } catch (JobRejectedException rejection) {
      answerRejection(JobParser.validIdOrEmpty(body), rejection, answer);
      return;
    }
    if (spec.isGang() && !recordVersions.allSupportGangs()) {
      answer.accept(
          ApiResponse.retryLater(
              HttpStatus.SERVICE_UNAVAILABLE,
              "not all controllers know gangs yet",
              ApiConstants.RETRY_AFTER_OVERLOAD_S));
      return;
    }
    jobReader.cacheFacts(spec);
    submitToOwner(spec, answer);
  }

  private void submitToOwner(JobSpec spec, Consumer<ApiResponse> answer) {
    forwarding.submit(
        spec,
        ownerAnswer -> {
          if (ownerAnswer.status() == HttpStatus.SERVICE_UNAVAILABLE) {
            jobs.storeOnBehalfOfOwner(spec, answer);
          } else {
            answer.accept(ownerAnswer);
          }
        },
        () -> jobs.storeOnBehalfOfOwner(spec, answer));
  }

  /** Rejects a job unless it was accepted before, since an accepted job stays accepted. */
  private void answerRejection(
      String id, JobRejectedException rejection, Consumer<ApiResponse> answer) {
    ApiResponse refusal = ApiResponse.refusal(rejection.status(), rejection.getMessage());
    if (id.isEmpty()) {
      answer.accept(refusal);
      return;
    }
    jobs.answers()
        .fromStore(
            id,
            storeAnswer ->
                answer.accept(
                    storeAnswer.status() == HttpStatus.NOT_FOUND ? refusal : storeAnswer));
  }
}
