package org.sandford.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;

/**
 * Holds the tasks that one machine runs or may run, in the order in which they became known. Runs
 * on the event loop.
 */
final class TaskTable {
  private final KnownImages images;
  private final QuarantineTracker quarantine;
  private final Map<TaskAttemptId, TaskEntry> entries = new LinkedHashMap<>();

  /** The tasks of the former owner's last snapshot; their jobs may have ended since. */
  private final Map<TaskAttemptId, TaskSnapshot> formerSnapshots = new HashMap<>();

  TaskTable(KnownImages images, QuarantineTracker quarantine) {
    this.images = images;
    this.quarantine = quarantine;
  }

  /** Returns a live view of all entries; the caller must not remove any while iterating. */
  Collection<TaskEntry> all() {
    return entries.values();
  }

  /** Returns the entry of the attempt, or null if there is none. */
  TaskEntry get(TaskId task, long attempt) {
    return entries.get(new TaskAttemptId(task, attempt));
  }

  /** Returns whether any attempt at the task uses, or may use, resources of the machine. */
  boolean isOnMachine(TaskId task) {
    return entries.values().stream().anyMatch(e -> e.id().task().equals(task) && e.isOnMachine());
  }

  boolean isIdle() {
    return entries.values().stream().noneMatch(TaskEntry::isOnMachine);
  }

  /** Returns whether the job of each task on the machine is confirmed as open. */
  boolean allJobsConfirmedOpen() {
    return entries.values().stream().allMatch(e -> e.isJobConfirmedOpen() || !e.isOnMachine());
  }

  /** Adds an accepted start, which is sent with the next commands. */
  void add(StartTask request, long now) {
    TaskAttemptId id = new TaskAttemptId(new TaskId(request.job, request.task), request.attempt);
    entries.put(id, TaskEntry.queued(id, request, now));
  }

  void remove(TaskEntry entry) {
    entries.remove(entry.id());
  }

  void clear() {
    entries.clear();
  }

  /** Keeps the former owner's snapshot of a task, if it has the task's attributes. */
  void addFormerSnapshot(TaskSnapshot task) {
    if (!task.team.isEmpty()) {
      formerSnapshots.put(new TaskAttemptId(new TaskId(task.job, task.task), task.attempt), task);
    }
  }

  /**
   * Sets the attributes of a task whose job was not read here from the former owner's snapshot.
   * Returns whether it did. The team and the resources of a task never change, and the team's owner
   * must count the task even if its job has ended.
   */
  boolean applyFormerSnapshot(TaskEntry entry) {
    TaskSnapshot former = entry.hasAttributes() ? null : formerSnapshots.get(entry.id());
    if (former == null) {
      return false;
    }
    entry.applyFormerSnapshot(former);
    return true;
  }

  /** Applies the tasks of a worker's message. Returns false if no task's snapshot changes. */
  boolean apply(Heartbeat heartbeat, WorkerChannel channel, boolean newEpoch, long now) {
    boolean changed = false;
    Set<TaskAttemptId> reported = new HashSet<>();
    for (Heartbeat.ReportedTask report : heartbeat.tasks()) {
      TaskAttemptId id = new TaskAttemptId(report.task(), report.attempt());
      reported.add(id);
      changed |= apply(id, report, now);
    }
    for (Iterator<TaskEntry> it = entries.values().iterator(); it.hasNext(); ) {
      TaskEntry entry = it.next();
      if (!reported.contains(entry.id()) && entry.isProvenAbsent(heartbeat, channel, newEpoch)) {
        it.remove();
        // An exited task used no resources, and its team's owner has acknowledged the exit.
        changed |= entry.isOnMachine();
      }
    }
    return changed;
  }

  private boolean apply(TaskAttemptId id, Heartbeat.ReportedTask report, long now) {
    TaskEntry entry = entries.get(id);
    boolean added = entry == null;
    if (added) {
      entry = TaskEntry.reported(id, now);
      entries.put(id, entry);
    }
    entry.confirmStart();
    boolean changed = added || entry.isChangedBy(report);
    if (entry.state() != report.state()) {
      if (report.state() == TaskState.RUNNING) {
        images.recordUse(entry.image());
      }
      if (report.state() == TaskState.EXITED) {
        quarantine.recordExit(entry.job(), report.cause());
      }
    }
    entry.update(report, now);
    return changed;
  }

  /** Returns the starts that were sent as commands and are not answered yet. */
  List<TaskEntry> startsAwaitingReply() {
    List<TaskEntry> starts = new ArrayList<>();
    for (TaskEntry entry : entries.values()) {
      if (entry.isCommandSent()) {
        starts.add(entry);
      }
    }
    return starts;
  }

  /** Removes those of the starts that still await a reply; the worker did not carry them out. */
  void removeStartsAwaitingReply(List<TaskEntry> starts) {
    for (TaskEntry entry : starts) {
      if (entry.isCommandSent()) {
        remove(entry);
      }
    }
  }

  void removeQueued() {
    entries.values().removeIf(TaskEntry::isQueued);
  }

  List<TaskSnapshot> snapshots(long now) {
    List<TaskSnapshot> snapshots = new ArrayList<>();
    for (TaskEntry entry : entries.values()) {
      snapshots.add(entry.snapshot(now));
    }
    return snapshots;
  }
}
