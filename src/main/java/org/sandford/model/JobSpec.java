package org.sandford.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.sandford.constants.ClusterConstants;
import org.sandford.runtime.Json;

/**
 * The validated specification of a job. Resource amounts are per task.
 *
 * @param id the job's id, chosen by its user
 * @param jobClass the class whose service-level objectives apply
 * @param team the team whose quota it uses
 * @param shape how its tasks run
 * @param rank its priority
 * @param tasks the number of its tasks, which are numbered from 0
 * @param cpus CPUs
 * @param gpus accelerators
 * @param ramGb memory, in GB
 * @param allowedInstanceTypes the allowed instance types; empty for any
 * @param zone the only allowed zone; empty for any
 * @param sameZone whether all tasks must be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether it may run on spot instances
 * @param image the image that a machine must have before a task can start
 * @param imageGb the size of the image, in GB
 * @param expectedS the estimated run time of a task, in seconds; 0 for services
 * @param checkpointIntervalS the progress between two checkpoints, in seconds; 0 if it makes none
 * @param checkpointCostS the time that a checkpoint takes when a task is stopped, in seconds
 * @param deadlineS the deadline, in seconds from the submission; 0 for none
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Rank rank,
    int tasks,
    double cpus,
    double gpus,
    double ramGb,
    Set<String> allowedInstanceTypes,
    String zone,
    boolean sameZone,
    boolean spreadAcrossZones,
    boolean spotAllowed,
    String image,
    double imageGb,
    double expectedS,
    double checkpointIntervalS,
    double checkpointCostS,
    double deadlineS) {

  /** How the tasks of a job run. */
  public enum Shape {
    /** Independent tasks, each of which runs to completion. */
    ARRAY(0),
    /** Replicas that run until the job is cancelled. */
    SERVICE(1),
    /**
     * Tasks that run all at the same time or not at all. Supported from record version {@link
     * ClusterConstants#RECORD_VERSION_GANGS} on.
     */
    GANG(2);

    private final int number;

    Shape(int number) {
      this.number = number;
    }

    /** Returns the shape that has this number in records. */
    static Shape of(int number) {
      return Arrays.stream(values())
          .filter(shape -> shape.number == number)
          .findFirst()
          .orElseThrow(() -> new IllegalArgumentException("no job shape has number " + number));
    }
  }

  /** Priorities; a lower number comes first. */
  public enum Rank {
    PRODUCTION(0),
    URGENT(1),
    NORMAL(2),
    BEST_EFFORT(3);

    private final int number;

    Rank(int number) {
      this.number = number;
    }

    /** Returns the number that stands for the rank in records and messages to peers. */
    public int number() {
      return number;
    }

    /** Returns the rank that has this number in records. */
    static Rank of(int number) {
      return Arrays.stream(values())
          .filter(rank -> rank.number == number)
          .findFirst()
          .orElseThrow(() -> new IllegalArgumentException("no job rank has number " + number));
    }
  }

  /** Returns whether it is a service, whose replicas run until it is cancelled. */
  public boolean isService() {
    return shape == Shape.SERVICE;
  }

  /** Returns whether its tasks run all at the same time or not at all. */
  public boolean isGang() {
    return shape == Shape.GANG;
  }

  /**
   * Returns the compact form for the job's record and for other controllers. Controllers of the
   * production version read it, so neither field names nor their order may change.
   */
  public ObjectNode toJson() {
    ObjectNode node =
        Json.object()
            .put(Field.JOB_CLASS, jobClass)
            .put(Field.TEAM, team)
            .put(Field.SHAPE, shape.number)
            .put(Field.RANK, rank.number)
            .put(Field.TASKS, tasks)
            .put(Field.CPUS, cpus)
            .put(Field.GPUS, gpus)
            .put(Field.RAM_GB, ramGb)
            .put(Field.ZONE, zone)
            .put(Field.SAME_ZONE, toFlag(sameZone))
            .put(Field.SPREAD_ACROSS_ZONES, toFlag(spreadAcrossZones))
            .put(Field.SPOT_ALLOWED, toFlag(spotAllowed))
            .put(Field.IMAGE, image)
            .put(Field.IMAGE_GB, imageGb)
            .put(Field.EXPECTED_S, expectedS)
            .put(Field.CHECKPOINT_INTERVAL_S, checkpointIntervalS)
            .put(Field.CHECKPOINT_COST_S, checkpointCostS)
            .put(Field.DEADLINE_S, deadlineS);
    if (!allowedInstanceTypes.isEmpty()) {
      allowedInstanceTypes.forEach(node.putArray(Field.INSTANCE_TYPES)::add);
    }
    return node;
  }

  /**
   * Reads the compact form.
   *
   * @throws IllegalArgumentException if its shape or rank is unknown to this version
   */
  public static JobSpec fromJson(String id, JsonNode node) {
    Set<String> instanceTypes = new TreeSet<>();
    node.path(Field.INSTANCE_TYPES).forEach(type -> instanceTypes.add(type.asText()));
    return new JobSpec(
        id,
        node.path(Field.JOB_CLASS).asText(),
        node.path(Field.TEAM).asText(),
        Shape.of(node.path(Field.SHAPE).asInt()),
        Rank.of(node.path(Field.RANK).asInt()),
        node.path(Field.TASKS).asInt(),
        node.path(Field.CPUS).asDouble(),
        node.path(Field.GPUS).asDouble(),
        node.path(Field.RAM_GB).asDouble(),
        Set.copyOf(instanceTypes),
        node.path(Field.ZONE).asText(""),
        isFlagSet(node.path(Field.SAME_ZONE)),
        isFlagSet(node.path(Field.SPREAD_ACROSS_ZONES)),
        isFlagSet(node.path(Field.SPOT_ALLOWED)),
        node.path(Field.IMAGE).asText(),
        node.path(Field.IMAGE_GB).asDouble(),
        node.path(Field.EXPECTED_S).asDouble(),
        node.path(Field.CHECKPOINT_INTERVAL_S).asDouble(),
        node.path(Field.CHECKPOINT_COST_S).asDouble(),
        node.path(Field.DEADLINE_S).asDouble());
  }

  private static int toFlag(boolean value) {
    return value ? 1 : 0;
  }

  private static boolean isFlagSet(JsonNode flag) {
    return flag.asInt() == 1;
  }

  /** The field names of the compact form. */
  private static final class Field {
    static final String JOB_CLASS = "c";
    static final String TEAM = "t";
    static final String SHAPE = "k";
    static final String RANK = "r";
    static final String TASKS = "n";
    static final String CPUS = "cpu";
    static final String GPUS = "gpu";
    static final String RAM_GB = "ram";
    static final String ZONE = "z";
    static final String SAME_ZONE = "to";
    static final String SPREAD_ACROSS_ZONES = "sc";
    static final String SPOT_ALLOWED = "sp";
    static final String IMAGE = "i";
    static final String IMAGE_GB = "ig";
    static final String EXPECTED_S = "e";
    static final String CHECKPOINT_INTERVAL_S = "se";
    static final String CHECKPOINT_COST_S = "sv";
    static final String DEADLINE_S = "due";
    static final String INSTANCE_TYPES = "m";

    private Field() {}
  }
}
