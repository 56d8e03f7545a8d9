package org.sandford.machine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.constants.MachineConstants;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.TaskState;
import org.sandford.runtime.EventLoop;
import org.sandford.store.OpenJobReader;
import org.sandford.store.StoreClient;

/**
 * Finds the jobs of tasks that workers report: whether they are open, and what their tasks need.
 * Reads the open jobs in the store, not more often than every {@link
 * MachineConstants#OPEN_JOBS_LIST_INTERVAL_MS}. A task whose job is not among them is ended. Runs
 * on the event loop.
 */
final class OpenJobResolver {
  private final EventLoop loop;
  private final OpenJobReader openJobs;
  private final MachineRegistry machines;
  private final SnapshotPublisher publisher;
  private final TaskStopper stopper;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private boolean listingRequested;

  /** Rises when ends of jobs may have been missed: a listing begun before proves nothing more. */
  private int invalidations;

  private long earliestListingAtMs;

  OpenJobResolver(
      EventLoop loop,
      OpenJobReader openJobs,
      MachineRegistry machines,
      SnapshotPublisher publisher,
      TaskStopper stopper) {
    this.loop = loop;
    this.openJobs = openJobs;
    this.machines = machines;
    this.publisher = publisher;
    this.stopper = stopper;
    this.earliestListingAtMs = loop.millis();
  }

  /** Forgets a job that has ended. */
  void jobEnded(String job) {
    specs.remove(job);
  }

  /** Reads the jobs of all tasks again: ends of jobs may have been missed. */
  void jobEndsMissed() {
    invalidations++;
    specs.clear();
    for (Machine machine : machines.all()) {
      machine.tasks().all().forEach(TaskEntry::clearJobConfirmation);
    }
    requestListing();
  }

  /**
   * Fills in what is known of the machine's tasks and reads what is not; true when it filled in
   * any.
   */
  boolean applyKnownSpecs(Machine machine) {
    boolean missing = false;
    boolean changed = false;
    for (TaskEntry entry : machine.tasks().all()) {
      if (entry.isJobConfirmedOpen()) {
        continue;
      }
      JobSpec spec = specs.get(entry.job());
      if (spec == null) {
        missing = true;
        changed |= machine.tasks().applyFormerSnapshot(entry);
      } else {
        applySpec(machine, entry, spec);
        changed = true;
      }
    }
    if (missing) {
      requestListing();
    }
    return changed;
  }

  private static void applySpec(Machine machine, TaskEntry entry, JobSpec spec) {
    entry.applySpec(spec);
    if (entry.state() == TaskState.RUNNING) {
      machine.images().recordUse(entry.image());
    }
  }

  private void requestListing() {
    if (listingRequested) {
      return;
    }
    listingRequested = true;
    long pauseMs = earliestListingAtMs - loop.millis();
    if (pauseMs > 0) {
      loop.after(pauseMs, this::listOpenJobs);
    } else {
      listOpenJobs();
    }
  }

  private void listOpenJobs() {
    earliestListingAtMs = loop.millis() + MachineConstants.OPEN_JOBS_LIST_INTERVAL_MS;
    int invalidationsAtListing = invalidations;
    List<TaskEntry> unconfirmedAtListing = new ArrayList<>();
    for (Machine machine : machines.all()) {
      for (TaskEntry entry : machine.tasks().all()) {
        if (!entry.isJobConfirmedOpen()) {
          unconfirmedAtListing.add(entry);
        }
      }
    }
    openJobs.openJobs(open -> onOpenJobs(open, unconfirmedAtListing, invalidationsAtListing));
  }

  private void onOpenJobs(
      Map<String, StoreClient.Entry> open,
      List<TaskEntry> unconfirmedAtListing,
      int invalidationsAtListing) {
    listingRequested = false;
    if (invalidationsAtListing != invalidations) {
      requestListing();
      return;
    }
    specs.clear();
    open.forEach((id, record) -> specs.put(id, OpenJobReader.spec(id, record.value())));
    for (Machine machine : machines.all()) {
      if (resolveTasks(machine, unconfirmedAtListing)) {
        publisher.markChanged(machine);
      }
    }
    for (Machine machine : machines.all()) {
      if (applyKnownSpecs(machine)) {
        publisher.markChanged(machine);
      }
    }
  }

  /**
   * Describes tasks of open jobs and ends those whose job was not open when the listing began: a
   * task starts only once its job is stored, so the job has ended.
   */
  private boolean resolveTasks(Machine machine, List<TaskEntry> unconfirmedAtListing) {
    boolean changed = false;
    for (TaskEntry entry : new ArrayList<>(machine.tasks().all())) {
      if (entry.isJobConfirmedOpen()) {
        continue;
      }
      JobSpec spec = specs.get(entry.job());
      if (spec != null) {
        applySpec(machine, entry, spec);
        changed = true;
      } else if (unconfirmedAtListing.contains(entry)) {
        stopper.end(machine, entry);
      }
    }
    return changed;
  }
}
