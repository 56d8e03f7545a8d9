package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A job as its user knows it. */
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

  /** Progress of a gang that its next attempt starts from. */
  double savedProgressS;

  double progressAtStopS;

  /**
   * How often a gang ran with all its tasks, and how often it was stopped with its progress saved.
   */
  int gangRuns;

  int orderlyStops;
  String zone = "";
  double checkpointIntervalS;
  String jobClass = "any";

  /** Run times of single tasks, by number; the others run as long as the job says. */
  final List<Double> taskRunTimesS = new ArrayList<>();

  final Set<String> finishedTasks = new HashSet<>();
  boolean cancelRequested;
  long cancelConfirmedAt;
  int submissionStatus;
  long submittedAt;
  long lastAnswerAt;

  /** When its first task started. */
  long firstStartAt = -1;

  double runTimeSOf(int task) {
    return task < taskRunTimesS.size() ? taskRunTimesS.get(task) : runS;
  }
}
