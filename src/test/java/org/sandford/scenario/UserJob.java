package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Holds a job as its user knows it, and what the simulation observes of it. */
final class UserJob {
  String id;
  String team = "red";
  boolean service;
  String rank = "normal";
  int tasks = 1;
  double cpus = 1;
  double ramGb = 1;
  double runS = 5;
  boolean spot;
  boolean spreadAcrossZones;
  boolean sameZone;
  boolean tasksFail;
  boolean gang;

  /** The saved progress from which the next attempt of a gang starts. */
  double savedProgressS;

  double progressAtStopS;

  /** Counts the times that a gang ran with all its tasks. */
  int gangRuns;

  /** Counts the times that a gang was stopped with its progress saved. */
  int orderlyStops;

  String zone = "";
  double checkpointIntervalS;
  String jobClass = "any";

  /** The run times of the first tasks, by task number; the others run for {@code runS}. */
  final List<Double> taskRunTimesS = new ArrayList<>();

  final Set<String> finishedTasks = new HashSet<>();
  boolean cancelRequested;
  long cancelConfirmedAt;
  int submissionStatus;
  long submittedAt;
  long lastAnswerAt;

  /** The time at which its first task started, or its gang first ran; -1 before that. */
  long firstStartAt = -1;

  double runTimeSOf(int task) {
    return task < taskRunTimesS.size() ? taskRunTimesS.get(task) : runS;
  }
}
