package org.sandford.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.cloud.InstanceType;
import org.sandford.model.JobSpec;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;

class JobParserTest {
  private static final Map<String, Settings.Team> TEAMS =
      Map.of("red", new Settings.Team("red", 8, 16, 0, 0));
  private static final Map<String, InstanceType> INSTANCE_TYPES =
      Map.of("m8", new InstanceType("m8", 8, 0, 64, 1, 0.5, 10, 1, List.of("a", "b")));

  private static ObjectNode validBody() {
    return (ObjectNode)
        Json.read(
            """
            {"name_id":"wk-000412","job_class":"train","owner":"red","shape":"array","rank":"urgent","pieces":16,
             "vcpus":8.0,"accelerators":0.0,"ram_gb":64.0,"build":"img-07","image_gb":6.2,"machine_kinds":["m8"],
             "site":null,"together":true,"scatter":false,"reclaimable":true,"expected_s":240.0,"save_every_s":30.0,
             "save_cost_s":4.0,"due_s":900.0,"unheard_of":[1]}
            """);
  }

  private static JobRejectedException rejection(ObjectNode body) {
    return assertThrows(
        JobRejectedException.class,
        () -> JobFeasibility.check(JobParser.parse(body), TEAMS, INSTANCE_TYPES));
  }

  @Test
  void validJobIsParsedAndRoundTripsThroughItsRecord() throws Exception {
    JobSpec spec = JobParser.parse(validBody());
    JobFeasibility.check(spec, TEAMS, INSTANCE_TYPES);
    assertEquals(JobSpec.Rank.URGENT, spec.rank());
    assertEquals(spec, JobSpec.fromJson(spec.id(), spec.toJson()));
  }

  @Test
  void allTasksOfGangCountAgainstQuotaTogether() throws Exception {
    ObjectNode gang = validBody().put("shape", "ensemble").put("pieces", 2);
    JobSpec spec = JobParser.parse(gang);
    JobFeasibility.check(spec, TEAMS, INSTANCE_TYPES);
    assertEquals(JobSpec.Shape.GANG, spec.shape());
    assertEquals(422, rejection(gang.put("pieces", 3)).status());
    assertEquals(400, rejection(gang.put("shape", "choir")).status());
  }

  @Test
  void nullableFieldsMayBeMissing() throws Exception {
    ObjectNode body = validBody();
    body.remove(List.of("machine_kinds", "site", "due_s"));
    assertEquals("", JobParser.parse(body).zone());
  }

  @Test
  void malformedJobIsRejectedWith400ThatNamesTheField() {
    for (String field :
        List.of(
            "name_id",
            "job_class",
            "owner",
            "shape",
            "rank",
            "pieces",
            "vcpus",
            "accelerators",
            "ram_gb",
            "build",
            "image_gb",
            "together",
            "scatter",
            "reclaimable",
            "expected_s",
            "save_every_s",
            "save_cost_s")) {
      ObjectNode missing = validBody();
      missing.remove(field);
      assertEquals(400, rejection(missing).status(), field);
      assertTrue(rejection(missing).getMessage().contains(field), field);
      ObjectNode wrongType = validBody();
      wrongType.putArray(field);
      assertEquals(400, rejection(wrongType).status(), field);
    }
    assertEquals(400, rejection(validBody().put("pieces", 0)).status());
    assertEquals(400, rejection(validBody().put("pieces", 100_001)).status());
    assertEquals(400, rejection(validBody().put("pieces", 1.5)).status());
    assertEquals(400, rejection(validBody().put("vcpus", -1)).status());
    assertEquals(400, rejection(validBody().put("name_id", "job-1")).status());
    assertEquals(400, rejection(validBody().put("rank", "royal")).status());
  }

  @Test
  void infeasibleJobIsRejectedWith422() {
    assertEquals(422, rejection(validBody().put("owner", "nobody")).status());
    assertEquals(422, rejection(validBody().put("vcpus", 9.0)).status());
    assertEquals(422, rejection(validBody().put("site", "nowhere")).status());
    assertEquals(422, rejection(validBody().put("shape", "standing")).status());
    ObjectNode unknownInstanceType = validBody();
    unknownInstanceType.putArray("machine_kinds").add("g8");
    assertEquals(422, rejection(unknownInstanceType).status());
  }
}
