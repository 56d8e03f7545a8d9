package org.sandford.job;

import java.util.function.Consumer;
import org.sandford.cluster.Cluster;
import org.sandford.model.ApiResponse;
import org.sandford.model.JobSpec;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.sandford.store.OpenJobReader;
import org.sandford.store.RecordWriter;

/**
 * Entry point for the jobs that this controller gains: those submitted here, and those that another
 * controller stored for a team of this one. Assembles {@link JobAcceptance}, {@link JobAdoption}
 * and {@link OpenJobAudit}, and decides nothing itself.
 *
 * <p>Runs on the event loop.
 */
final class Submissions {
  /** Listener for new jobs of this controller's teams. */
  interface Listener {
    /** Handles newly waiting jobs. */
    void jobsWaiting();

    /** Handles an adopted job, whose tasks a former owner may have started. */
    void jobAdopted(Job job);
  }

  private final JobAcceptance acceptance;
  private final JobAdoption adoption;
  private final OpenJobAudit audit;

  /** Takes the collaborators of all three classes. */
  Submissions(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      OwnedJobs owned,
      RecordWriter writer,
      OpenJobReader store,
      TerminalStates terminalStates,
      JobReader jobReader,
      JobAnswers answers,
      Listener listener) {
    JobRecordStore recordStore = new JobRecordStore(settings, cluster, writer);
    this.adoption =
        new JobAdoption(loop, cluster, owned, terminalStates, jobReader, recordStore, listener);
    this.acceptance =
        new JobAcceptance(loop, owned, jobReader, answers, recordStore, adoption, listener);
    this.audit = new OpenJobAudit(cluster, owned, store, terminalStates, jobReader, adoption);
  }

  /** Accepts a job of a team that this controller owns; idempotent. */
  void submit(JobSpec spec, Consumer<ApiResponse> answer) {
    acceptance.submit(spec, answer);
  }

  /** Accepts a job of a team whose owner cannot take it at present; idempotent. */
  void storeOnBehalfOfOwner(JobSpec spec, Consumer<ApiResponse> answer) {
    acceptance.storeOnBehalfOfOwner(spec, answer);
  }

  /** Adopts all jobs that are known to be stored for teams of this controller. */
  void adoptNewJobs() {
    adoption.adoptNewJobs();
  }

  /** Adopts a job that another controller stored for the team, if the team is owned here. */
  void adoptNewJob(String id, String team) {
    adoption.adoptNewJob(id, team);
  }

  /** Adopts any stored open job of an owned team that is not known here. */
  void audit() {
    audit.run();
  }
}
