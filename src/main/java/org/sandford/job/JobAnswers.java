package org.sandford.job;

import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.audit.Provenance;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;

/**
 * The one place that decides what users may be told about an accepted job. An answer must not be
 * older than any that a controller gave before the request came, so it rests on one of three
 * sources:
 *
 * <ul>
 *   <li>a stored terminal state, which never changes;
 *   <li>the owner's memory, while only the owner can change the job's record and has no write in
 *       flight that ends the job;
 *   <li>a read of the store that began after the request came.
 * </ul>
 *
 * <p>Runs on the event loop.
 */
public final class JobAnswers {
  private static final Provenance REMEMBERED_TERMINAL_STATE =
      new Provenance.RememberedTerminalState();

  private final OwnedJobs owned;
  private final TerminalStates terminalStates;
  private final JobReader jobReader;

  JobAnswers(OwnedJobs owned, TerminalStates terminalStates, JobReader jobReader) {
    this.owned = owned;
    this.terminalStates = terminalStates;
    this.jobReader = jobReader;
  }

  /** Returns the answer about a job whose terminal state is known here; otherwise empty. */
  public Optional<ApiResponse> terminalAnswer(String id) {
    Optional<TerminalState> state = terminalStates.get(id);
    if (state.isPresent()) {
      return Optional.of(
          ApiResponse.of(
              HttpStatus.OK, JobStatus.terminal(id, state.get()), REMEMBERED_TERMINAL_STATE));
    }
    Job job = owned.job(id);
    return job == null || !job.phase().isTerminal()
        ? Optional.empty()
        : Optional.of(ApiResponse.of(HttpStatus.OK, job.status(), REMEMBERED_TERMINAL_STATE));
  }

  /** Returns the answer from memory; empty if only the store can tell. */
  public Optional<ApiResponse> fromMemory(String id) {
    Optional<ApiResponse> terminalAnswer = terminalAnswer(id);
    return terminalAnswer.isPresent() ? terminalAnswer : fromOwnerMemory(id);
  }

  private Optional<ApiResponse> fromOwnerMemory(String id) {
    Job job = owned.job(id);
    // While its terminal write is in flight, other controllers may read the job's end from the
    // store and report it before the writer gets its own answer.
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
   * Answers from a read of the store that begins now; only the store can prove that no such job
   * exists. If the store does not answer, a 503 follows within the store's call timeout.
   */
  public void fromStore(String id, Consumer<ApiResponse> answer) {
    jobReader.read(id, result -> answer.accept(fromReadResult(id, result)));
  }

  private ApiResponse fromReadResult(String id, JobReadResult result) {
    if (result instanceof JobReadResult.Terminal terminal) {
      return ApiResponse.of(
          HttpStatus.OK,
          JobStatus.terminal(id, terminal.state()),
          new Provenance.StoreRead(terminal.revision()));
    }
    if (result instanceof JobReadResult.Open open) {
      return fromMemory(id)
          .orElseGet(
              () ->
                  ApiResponse.of(
                      HttpStatus.OK,
                      JobStatus.open(open),
                      new Provenance.StoreRead(open.revision())));
    }
    if (result instanceof JobReadResult.Absent) {
      // The job may have been accepted during the reads.
      return fromMemory(id)
          .orElseGet(() -> ApiResponse.refusal(HttpStatus.NOT_FOUND, "no job has this id"));
    }
    return ApiResponse.retryLater(
        HttpStatus.SERVICE_UNAVAILABLE, "the job's state is not known just now", 1);
  }
}
