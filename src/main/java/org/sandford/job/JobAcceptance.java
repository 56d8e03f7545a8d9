package org.sandford.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.audit.Provenance;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.model.JobSpec;
import org.sandford.runtime.EventLoop;
import org.sandford.store.StoreClient.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts new jobs. A job is accepted once its record is stored. After a write with an unknown
 * outcome, the record is read before anything else is written.
 *
 * <p>Submissions are idempotent by job id: the record is created only if the id was never used, and
 * a repeated submission gets the current state of the job that was first accepted under the id,
 * even if its body differs.
 *
 * <p>Runs on the event loop.
 */
final class JobAcceptance {
  private static final Logger log = LoggerFactory.getLogger(JobAcceptance.class);

  private static final ApiResponse NOT_STORED = unavailable("the job cannot be stored just now");
  private static final ApiResponse OVERLOADED =
      ApiResponse.retryLater(
          HttpStatus.TOO_MANY_REQUESTS,
          "too many submissions at once",
          ApiConstants.RETRY_AFTER_OVERLOAD_S);

  private final EventLoop loop;
  private final OwnedJobs owned;
  private final JobReader jobReader;
  private final JobAnswers answers;
  private final JobRecordStore recordStore;
  private final JobAdoption adoption;
  private final Submissions.Listener listener;

  JobAcceptance(
      EventLoop loop,
      OwnedJobs owned,
      JobReader jobReader,
      JobAnswers answers,
      JobRecordStore recordStore,
      JobAdoption adoption,
      Submissions.Listener listener) {
    this.loop = loop;
    this.owned = owned;
    this.jobReader = jobReader;
    this.answers = answers;
    this.recordStore = recordStore;
    this.adoption = adoption;
    this.listener = listener;
  }

  /** Accepts a job of a team that this controller owns. */
  void submit(JobSpec spec, Consumer<ApiResponse> answer) {
    Optional<ApiResponse> known = answers.fromMemory(spec.id());
    if (known.isPresent()) {
      answer.accept(known.get());
      return;
    }
    ApiResponse refusal = owned.refusalFor(spec.team());
    if (refusal != null) {
      answer.accept(refusal);
      return;
    }
    Job existing = owned.job(spec.id());
    if (existing != null) {
      answerRepeatedSubmission(existing, answer);
      return;
    }
    if (recordStore.isOverloaded()) {
      answer.accept(OVERLOADED);
      return;
    }
    Team team = owned.team(spec.team());
    Job job = new Job(spec, loop.wallMillis(), false, Job.Phase.STORING, loop.nanos());
    job.submissionCallbacks.add(answer);
    owned.add(team, job);
    createRecord(job);
  }

  private void answerRepeatedSubmission(Job existing, Consumer<ApiResponse> answer) {
    if (existing.phase() == Job.Phase.STORING) {
      existing.submissionCallbacks.add(answer);
    } else {
      answerRepeatedFromStore(existing.spec.id(), answer);
    }
  }

  /** Answers for a job that was accepted before and whose state only the store can tell. */
  private void answerRepeatedFromStore(String id, Consumer<ApiResponse> answer) {
    answers.fromStore(
        id, response -> answer.accept(response.status() == HttpStatus.OK ? response : NOT_STORED));
  }

  private void createRecord(Job job) {
    recordStore.create(job, result -> recordCreated(job, result));
  }

  private void recordCreated(Job job, TransactionResult result) {
    if (!owned.isCurrent(job)) {
      return;
    }
    switch (result.outcome()) {
      case APPLIED -> markAccepted(job, result.revision(), HttpStatus.CREATED);
      case REFUSED -> rejectSubmission(job, unavailable("the job could not be stored"));
      case CONFLICT -> {
        if (result.failedKeys().contains(Cluster.TEAMS_KEY)) {
          rejectSubmission(job, unavailable("the teams' owners change"));
        } else {
          readBack(job);
        }
      }
      case UNKNOWN -> {
        answerSubmissions(job, unavailable("it is not known whether the job was stored"));
        loop.after(StoreConstants.STORE_RETRY_MS, () -> readBack(job));
      }
    }
  }

  /** Refuses a job that was certainly not stored. */
  private void rejectSubmission(Job job, ApiResponse refusal) {
    owned.remove(job);
    answerSubmissions(job, refusal);
  }

  private void markAccepted(Job job, long revision, int status) {
    job.revision = revision;
    job.transitionTo(Job.Phase.OPEN);
    log.debug("job accepted job={}", job.spec.id());
    answerSubmissions(job, acceptedResponse(job.spec.id(), status, revision));
    listener.jobsWaiting();
  }

  private static ApiResponse acceptedResponse(String id, int status, long revision) {
    return ApiResponse.of(status, JobStatus.accepted(id), new Provenance.StoreWrite(revision));
  }

  private static void answerSubmissions(Job job, ApiResponse answer) {
    List<Consumer<ApiResponse>> waiting = new ArrayList<>(job.submissionCallbacks);
    job.submissionCallbacks.clear();
    waiting.forEach(callback -> callback.accept(answer));
  }

  /** Reads the record before anything else is written: the store may hold a job of this id. */
  private void readBack(Job job) {
    if (isBeingStored(job)) {
      jobReader.read(
          job.spec.id(),
          result -> {
            if (isBeingStored(job)) {
              applyReadResult(job, result);
            }
          });
    }
  }

  private boolean isBeingStored(Job job) {
    return owned.isCurrent(job) && job.phase() == Job.Phase.STORING;
  }

  private void applyReadResult(Job job, JobReadResult result) {
    if (result instanceof JobReadResult.Open open) {
      if (isRecordOf(job, open)) {
        markAccepted(job, open.revision(), HttpStatus.OK);
      } else {
        adoptStoredJob(job, open);
      }
    } else if (result instanceof JobReadResult.Terminal) {
      owned.remove(job);
      answers
          .terminalAnswer(job.spec.id())
          .ifPresent(terminalAnswer -> answerSubmissions(job, terminalAnswer));
    } else if (result instanceof JobReadResult.Absent) {
      createRecord(job);
    } else {
      answerSubmissions(job, unavailable("the store does not answer"));
      loop.after(StoreConstants.STORE_RETRY_MS, () -> readBack(job));
    }
  }

  /**
   * Returns whether this controller's write created the record. A job that another controller
   * recorded counts as inherited, since its tasks may have been started.
   */
  private static boolean isRecordOf(Job job, JobReadResult.Open open) {
    return open.acceptedAt() == job.acceptedAt && open.spec().equals(job.spec);
  }

  /** Replaces the job by the stored one that first used its id, perhaps with another body. */
  private void adoptStoredJob(Job job, JobReadResult.Open open) {
    // Some submissions came after this read began, so the read cannot answer them.
    List<Consumer<ApiResponse>> submissionCallbacks = new ArrayList<>(job.submissionCallbacks);
    owned.remove(job);
    adoption.adoptIfUnknown(open);
    submissionCallbacks.forEach(callback -> answerRepeatedFromStore(job.spec.id(), callback));
  }

  /**
   * Stores a job whose team's owner cannot take it at present; the record alone makes it accepted.
   * Only the owner ever starts its tasks; a key that all controllers watch announces the job to it.
   */
  void storeOnBehalfOfOwner(JobSpec spec, Consumer<ApiResponse> answer) {
    if (recordStore.isOverloaded()) {
      answer.accept(OVERLOADED);
      return;
    }
    recordStore.createForOwner(
        spec, loop.wallMillis(), result -> recordCreatedForOwner(spec, result, answer));
  }

  private void recordCreatedForOwner(
      JobSpec spec, TransactionResult result, Consumer<ApiResponse> answer) {
    switch (result.outcome()) {
      case APPLIED -> {
        log.info("job stored for owner job={} team={}", spec.id(), spec.team());
        answer.accept(acceptedResponse(spec.id(), HttpStatus.CREATED, result.revision()));
      }
      case CONFLICT -> answerRepeatedFromStore(spec.id(), answer);
      case REFUSED, UNKNOWN -> answer.accept(NOT_STORED);
    }
  }

  private static ApiResponse unavailable(String reason) {
    return ApiResponse.retryLater(
        HttpStatus.SERVICE_UNAVAILABLE, reason, ApiConstants.RETRY_AFTER_UNAVAILABLE_S);
  }
}
