package org.sandford.job;

import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.audit.Provenance;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;

/**
 * The one place that decides what may be said of a job that was accepted. An answer must not be
 * older than any that some controller has given before the question came, so it rests on one of
 * three things:
 *
 * <ul>
 *   <li>a stored terminal state, which never changes;
 *   <li>the owner's memory, while nobody but the owner can change the job's record, and the owner
 *       itself has no write under way that ends the job;
 *   <li>a read of the store that began after the question came.
 * </ul>
 *
 * <p>Runs on the event loop.
 */
public final class JobAnswers {
  private static final Provenance REMEMBERED_END = new Provenance.RememberedTerminalState();

  private final OwnedJobs owned;
  private final TerminalStates terminalStates;
  private final JobReader jobReader;

  JobAnswers(OwnedJobs owned, TerminalStates terminalStates, JobReader jobReader) {
    this.owned = owned;
    this.terminalStates = terminalStates;
    this.jobReader = jobReader;
  }

  /** The answer about a job whose terminal state is known here; empty when none is. */
  public Optional<ApiResponse> ended(String id) {
    Optional<TerminalState> state = terminalStates.get(id);
    if (state.isPresent()) {
      return Optional.of(
          ApiResponse.of(HttpStatus.OK, JobStatus.terminal(id, state.get()), REMEMBERED_END));
    }
    Job job = owned.job(id);
    return job == null || !job.phase().over()
        ? Optional.empty()
        : Optional.of(ApiResponse.of(HttpStatus.OK, job.status(), REMEMBERED_END));
  }

  /** What may be said without asking anybody; empty when only the store can tell. */
  public Optional<ApiResponse> fromMemory(String id) {
    Optional<ApiResponse> ended = ended(id);
    return ended.isPresent() ? ended : fromOwnerMemory(id);
  }

  private Optional<ApiResponse> fromOwnerMemory(String id) {
    Job job = owned.job(id);
    // While its terminal write is under way the job may have ended for all who read the store, and
    // whose answers to that can be quicker than the writer's own.
    if (job == null
        || job.phase() == Job.Phase.STORING
        || job.terminalStateMayBeStored()
        || owned.refusalFor(job.spec.team()) != null) {
      return Optional.empty();
    }
    return Optional.of(
        ApiResponse.of(HttpStatus.OK, job.status(), owned.ownerMemory(job.spec.team())));
  }

  /**
   * Answers from a read of the store that begins now; the store alone may say that there is no such
   * job. Without its answer a 503 follows within the store's call timeout.
   */
  public void fromStore(String id, Consumer<ApiResponse> answer) {
    jobReader.read(id, found -> answer.accept(fromReadResult(id, found)));
  }

  private ApiResponse fromReadResult(String id, JobReadResult found) {
    if (found instanceof JobReadResult.Terminal terminal) {
      return ApiResponse.of(
          HttpStatus.OK,
          JobStatus.terminal(id, terminal.state()),
          new Provenance.StoreRead(terminal.revision()));
    }
    if (found instanceof JobReadResult.Open open) {
      return fromMemory(id)
          .orElseGet(
              () ->
                  ApiResponse.of(
                      HttpStatus.OK,
                      JobStatus.open(open),
                      new Provenance.StoreRead(open.revision())));
    }
    if (found instanceof JobReadResult.Absent) {
      // It may have been accepted while the reads were under way.
      return fromMemory(id)
          .orElseGet(() -> ApiResponse.refuse(HttpStatus.NOT_FOUND, "no job has this id"));
    }
    return ApiResponse.later(
        HttpStatus.SERVICE_UNAVAILABLE, "the job's state is not known just now", 1);
  }
}
