package org.sandford.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.sandford.constants.ApiConstants;
import org.sandford.model.JobSpec;

/**
 * Parses submissions. Only this class maps the field names of the user API to the scheduler's
 * terms.
 */
final class JobParser {
  private static final String ID = "name_id";
  private static final String JOB_CLASS = "job_class";
  private static final String TEAM = "owner";
  private static final String SHAPE = "shape";
  private static final String PRIORITY = "rank";
  private static final String TASKS = "pieces";
  private static final String CPUS = "vcpus";
  private static final String GPUS = "accelerators";
  private static final String RAM_GB = "ram_gb";
  private static final String INSTANCE_TYPES = "machine_kinds";
  private static final String ZONE = "site";
  private static final String SAME_ZONE = "together";
  private static final String SPREAD_OVER_ZONES = "scatter";
  private static final String SPOT_ALLOWED = "reclaimable";
  private static final String IMAGE = "build";
  private static final String IMAGE_GB = "image_gb";
  private static final String EXPECTED_S = "expected_s";
  private static final String CHECKPOINT_INTERVAL_S = "save_every_s";
  private static final String CHECKPOINT_COST_S = "save_cost_s";
  private static final String DEADLINE_S = "due_s";

  private static final Pattern JOB_ID_PATTERN = Pattern.compile("wk-[0-9]{1,40}");
  private static final double MAX_AMOUNT = 1e12;

  /** The deadline of a job that has none. */
  private static final double NO_DEADLINE = 0;

  /** The zone of a job that may run in any. */
  private static final String ANY_ZONE = "";

  private JobParser() {}

  /** Returns whether the text has the format of a job id. */
  static boolean isJobId(String id) {
    return JOB_ID_PATTERN.matcher(id).matches();
  }

  /** Returns the valid id in a body that may otherwise be malformed, or an empty string. */
  static String validIdOrEmpty(JsonNode body) {
    String id = body.path(ID).asText("");
    return body.path(ID).isTextual() && isJobId(id) ? id : "";
  }

  /**
   * Parses a submitted job.
   *
   * @param body the body, or a missing node if it was not JSON
   * @throws JobRejectedException if the body is malformed; the message names the first invalid
   *     field
   */
  static JobSpec parse(JsonNode body) throws JobRejectedException {
    if (body.isMissingNode()) {
      throw JobRejectedException.malformed("the body is not JSON");
    }
    if (!body.isObject()) {
      throw JobRejectedException.malformed("the body is not a JSON object");
    }
    String id = id(body);
    Set<String> instanceTypes = instanceTypes(body);
    double cpus = cpus(body);
    return new JobSpec(
        id,
        nonEmptyText(body, JOB_CLASS),
        nonEmptyText(body, TEAM),
        shape(body),
        rank(body),
        tasks(body),
        cpus,
        nonNegativeNumber(body, GPUS),
        nonNegativeNumber(body, RAM_GB),
        instanceTypes,
        isMissingOrNull(body, ZONE) ? ANY_ZONE : nonEmptyText(body, ZONE),
        bool(body, SAME_ZONE),
        bool(body, SPREAD_OVER_ZONES),
        bool(body, SPOT_ALLOWED),
        nonEmptyText(body, IMAGE),
        nonNegativeNumber(body, IMAGE_GB),
        nonNegativeNumber(body, EXPECTED_S),
        nonNegativeNumber(body, CHECKPOINT_INTERVAL_S),
        nonNegativeNumber(body, CHECKPOINT_COST_S),
        isMissingOrNull(body, DEADLINE_S) ? NO_DEADLINE : nonNegativeNumber(body, DEADLINE_S));
  }

  /** Returns whether a nullable field has no value; it may also be missing. */
  private static boolean isMissingOrNull(JsonNode body, String field) {
    JsonNode value = body.path(field);
    return value.isMissingNode() || value.isNull();
  }

  private static JobRejectedException invalid(String field, String expected) {
    return JobRejectedException.malformed(field + ": expected " + expected);
  }

  private static String nonEmptyText(JsonNode body, String field) throws JobRejectedException {
    JsonNode value = body.path(field);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw invalid(field, "a text");
    }
    return value.asText();
  }

  private static double nonNegativeNumber(JsonNode body, String field) throws JobRejectedException {
    JsonNode node = body.path(field);
    double value = node.asDouble();
    if (!node.isNumber() || !Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      throw invalid(field, "a number that is not negative");
    }
    return value;
  }

  private static boolean bool(JsonNode body, String field) throws JobRejectedException {
    JsonNode value = body.path(field);
    if (!value.isBoolean()) {
      throw invalid(field, "true or false");
    }
    return value.asBoolean();
  }

  private static String id(JsonNode body) throws JobRejectedException {
    String id = nonEmptyText(body, ID);
    if (!isJobId(id)) {
      throw invalid(ID, "a form like wk-000412, got " + id);
    }
    return id;
  }

  private static Set<String> instanceTypes(JsonNode body) throws JobRejectedException {
    if (isMissingOrNull(body, INSTANCE_TYPES)) {
      return Set.of();
    }
    JsonNode names = body.path(INSTANCE_TYPES);
    if (!names.isArray() || names.isEmpty()) {
      throw invalid(INSTANCE_TYPES, "a list of machine types, or null for any");
    }
    Set<String> instanceTypes = new TreeSet<>();
    for (JsonNode name : names) {
      if (!name.isTextual()) {
        throw invalid(INSTANCE_TYPES, "a list of machine types, or null for any");
      }
      instanceTypes.add(name.asText());
    }
    return Set.copyOf(instanceTypes);
  }

  private static double cpus(JsonNode body) throws JobRejectedException {
    double cpus = nonNegativeNumber(body, CPUS);
    if (cpus <= 0) {
      throw invalid(CPUS, "more than 0");
    }
    return cpus;
  }

  private static JobSpec.Shape shape(JsonNode body) throws JobRejectedException {
    return switch (nonEmptyText(body, SHAPE)) {
      case "array" -> JobSpec.Shape.ARRAY;
      case "standing" -> JobSpec.Shape.SERVICE;
      case "ensemble" -> JobSpec.Shape.GANG;
      default -> throw invalid(SHAPE, "array, standing or ensemble");
    };
  }

  private static JobSpec.Rank rank(JsonNode body) throws JobRejectedException {
    return switch (nonEmptyText(body, PRIORITY)) {
      case "production" -> JobSpec.Rank.PRODUCTION;
      case "urgent" -> JobSpec.Rank.URGENT;
      case "normal" -> JobSpec.Rank.NORMAL;
      case "best_effort" -> JobSpec.Rank.BEST_EFFORT;
      default -> throw invalid(PRIORITY, "production, urgent, normal or best_effort");
    };
  }

  private static int tasks(JsonNode body) throws JobRejectedException {
    JsonNode value = body.path(TASKS);
    if (!value.isIntegralNumber()
        || !value.canConvertToInt()
        || value.asInt() < 1
        || value.asInt() > ApiConstants.MAX_TASKS_PER_JOB) {
      throw invalid(TASKS, "a whole number from 1 to " + ApiConstants.MAX_TASKS_PER_JOB);
    }
    return value.asInt();
  }
}
