package org.sandford.machine;

import org.sandford.model.TaskId;

/** Identifies one attempt at running a task; a machine never holds the same attempt twice. */
record TaskAttemptId(TaskId task, long attempt) {}
