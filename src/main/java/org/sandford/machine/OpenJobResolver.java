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
 * Looks up the jobs of tasks that workers report: whether they are open, and which resources their
 * tasks need. Lists the open jobs in the store at most once per {@link
 * MachineConstants#OPEN_JOBS_LIST_INTERVAL_MS}. Ends tasks whose job is not open. Runs on the event
 * loop.
 */
final class OpenJobResolver {
  private final EventLoop loop;
  private final OpenJobReader openJobs;
  private final MachineRegistry machines;
  private final SnapshotPublisher publisher;
  private final TaskStopper stopper;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private boolean listingRequested;

  /** Increases when ends of jobs may have been missed; listings started before are discarded. */
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

  /** Removes a job that has ended. */
  void jobEnded(String job) {
    specs.remove(job);
  }

  /** Reads the jobs of all tasks again, since ends of jobs may have been missed. */
  void recheckJobs() {
    invalidations++;
    specs.clear();
    for (Machine machine : machines.all()) {
      machine.tasks().all().forEach(TaskEntry::clearJobConfirmation);
    }
    requestListing();
  }

  /**
   * Sets the attributes of the machine's tasks from known jobs and requests a listing for the
   * others. Returns whether it set any.
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
    openJobs.listOpenJobs(open -> onOpenJobs(open, unconfirmedAtListing, invalidationsAtListing));
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
    open.forEach((id, record) -> specs.put(id, OpenJobReader.readSpec(id, record.value())));
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
   * Sets the attributes of tasks of open jobs and ends tasks that were known before the listing but
   * whose job is not in it. A task starts only once its job is stored, so the job has ended.
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
