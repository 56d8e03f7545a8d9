package org.sandford.job;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.function.Consumer;
import org.sandford.audit.AuditLog;
import org.sandford.constants.ApiConstants;
import org.sandford.model.JobSpec;
import org.sandford.store.OpenJobReader;
import org.sandford.store.ReadResult;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Priority;

/**
 * Reads single jobs from the store, and caches the facts of a job that never change.
 *
 * <p>A read looks for an open job first and for a terminal record second. An open job only ever
 * becomes a terminal one, so a job that neither read finds was not accepted before the first began.
 *
 * <p>Runs on the event loop.
 */
public final class JobReader {
  private static final JobReadResult ABSENT = new JobReadResult.Absent();
  private static final JobReadResult UNAVAILABLE = new JobReadResult.Unavailable();

  /** The facts of a job that never change. */
  private record ImmutableFacts(String team, Resources taskSize) {}

  private final StoreClient storeClient;
  private final TerminalStates terminalStates;
  private final AuditLog audit;
  private final Cache<String, ImmutableFacts> factsByJob =
      Caffeine.newBuilder()
          .maximumSize(ApiConstants.JOB_FACTS_CACHE_SIZE)
          .executor(Runnable::run)
          .build();

  /** Creates a reader that puts the terminal states it finds into {@code terminalStates}. */
  public JobReader(StoreClient storeClient, TerminalStates terminalStates, AuditLog audit) {
    this.storeClient = storeClient;
    this.terminalStates = terminalStates;
    this.audit = audit;
  }

  /** Returns the job's team, which never changes; null if it is not cached. */
  public String teamOf(String job) {
    ImmutableFacts facts = factsByJob.getIfPresent(job);
    return facts == null ? null : facts.team;
  }

  /** Returns what each task of the job uses, which never changes; null if it is not cached. */
  Resources taskSizeOf(String job) {
    ImmutableFacts facts = factsByJob.getIfPresent(job);
    return facts == null ? null : facts.taskSize;
  }

  /** Caches the facts of the job that never change. */
  public void cacheFacts(JobSpec spec) {
    factsByJob.put(spec.id(), new ImmutableFacts(spec.team(), Resources.ofTask(spec)));
  }

  /**
   * Reads a job. {@code onResult} runs once; it gets {@link JobReadResult.Unavailable} if the store
   * does not answer.
   */
  public void read(String job, Consumer<JobReadResult> onResult) {
    readRecord(
        OpenJobReader.OPEN_PREFIX + job,
        entry -> onResult.accept(openJob(job, entry)),
        () -> readTerminalRecord(job, onResult),
        onResult);
  }

  private void readRecord(
      String key,
      Consumer<StoreClient.Entry> onFound,
      Runnable onAbsent,
      Consumer<JobReadResult> onUnavailable) {
    storeClient.read(
        key,
        Priority.READ,
        result -> {
          if (result instanceof ReadResult.Found found) {
            onFound.accept(found.entry());
          } else if (result instanceof ReadResult.Absent) {
            onAbsent.run();
          } else {
            onUnavailable.accept(UNAVAILABLE);
          }
        });
  }

  private JobReadResult openJob(String job, StoreClient.Entry entry) {
    JobSpec spec = OpenJobReader.readSpec(job, entry.value());
    cacheFacts(spec);
    return JobRecordCodec.openJob(spec, entry);
  }

  private void readTerminalRecord(String job, Consumer<JobReadResult> onResult) {
    readRecord(
        OpenJobReader.TERMINAL_PREFIX + job,
        entry -> onResult.accept(terminalJob(job, entry)),
        () -> onResult.accept(ABSENT),
        onResult);
  }

  private JobReadResult terminalJob(String job, StoreClient.Entry entry) {
    TerminalState state = JobRecordCodec.terminalState(entry.value());
    terminalStates.put(job, state);
    audit.terminalStateLearned(job, state.wireName(), AuditLog.LearnedBy.READ, entry.revision());
    return new JobReadResult.Terminal(state, entry.revision());
  }
}
