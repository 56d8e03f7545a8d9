package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.RangeSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sandford.model.JobSpec;
import org.sandford.runtime.Json;

/**
 * Guards against a change of the record format: the version in production reads and writes the same
 * records, so those of arrays and services must keep their exact bytes.
 */
class ProductionRecordsTest {
  private static final String ARRAY_SPEC =
      "{\"c\":\"train\",\"t\":\"red\",\"k\":0,\"r\":1,\"n\":16,\"cpu\":8.0,\"gpu\":0.0,\"ram\":64.0,\"z\":\"a\","
          + "\"to\":1,\"sc\":0,\"sp\":1,\"i\":\"img-07\",\"ig\":6.2,\"e\":240.0,\"se\":30.0,\"sv\":4.0,\"due\":900.0,"
          + "\"m\":[\"m8\"]}";
  private static final String SERVICE_SPEC =
      "{\"c\":\"serve\",\"t\":\"red\",\"k\":1,\"r\":0,\"n\":4,\"cpu\":2.0,\"gpu\":0.0,\"ram\":8.0,\"z\":\"\","
          + "\"to\":0,\"sc\":1,\"sp\":0,\"i\":\"img\",\"ig\":1.0,\"e\":0.0,\"se\":0.0,\"sv\":0.0,\"due\":0.0}";

  private static JobSpec jobOfShape(JobSpec.Shape shape) {
    return new JobSpec(
        "wk-000412",
        "train",
        "red",
        shape,
        JobSpec.Rank.URGENT,
        16,
        8,
        0,
        64,
        Set.of("m8"),
        "a",
        true,
        false,
        true,
        "img-07",
        6.2,
        240,
        30,
        4,
        900);
  }

  private static JobSpec serviceJob() {
    return new JobSpec(
        "wk-000413",
        "serve",
        "red",
        JobSpec.Shape.SERVICE,
        JobSpec.Rank.PRODUCTION,
        4,
        2,
        0,
        8,
        Set.of(),
        "",
        false,
        true,
        false,
        "img",
        1,
        0,
        0,
        0,
        0);
  }

  @Test
  void specsAreWrittenWithTheBytesOfTheProductionVersion() {
    assertEquals(ARRAY_SPEC, Json.text(jobOfShape(JobSpec.Shape.ARRAY).toJson()));
    assertEquals(SERVICE_SPEC, Json.text(serviceJob().toJson()));
  }

  @Test
  void specsOfTheProductionVersionAreRead() {
    assertEquals(
        jobOfShape(JobSpec.Shape.ARRAY), JobSpec.fromJson("wk-000412", Json.read(ARRAY_SPEC)));
    assertEquals(serviceJob(), JobSpec.fromJson("wk-000413", Json.read(SERVICE_SPEC)));
  }

  @Test
  void gangSpecIsReadBackUnchanged() {
    JobSpec gangJob = jobOfShape(JobSpec.Shape.GANG);
    assertEquals(gangJob, JobSpec.fromJson(gangJob.id(), gangJob.toJson()));
    assertTrue(gangJob.isGang());
  }

  @Test
  void openJobRecordHasTheBytesOfTheProductionVersion() {
    RangeSet<Integer> finished = TaskRanges.empty();
    finished.add(TaskRanges.firstTasks(3));
    finished.add(TaskRanges.ofTask(7));
    assertEquals(
        "{\"a\":1700000000123,\"s\":" + ARRAY_SPEC + ",\"d\":[[0,2],[7,7]]}",
        Json.text(
            JobRecordCodec.openRecord(
                jobOfShape(JobSpec.Shape.ARRAY), 1_700_000_000_123L, finished, 16_384)));
  }

  @Test
  void terminalRecordHasTheBytesOfTheProductionVersion() {
    JobSpec spec = jobOfShape(JobSpec.Shape.ARRAY);
    assertEquals(
        "{\"s\":\"done\",\"t\":\"red\",\"n\":16}",
        Json.text(JobRecordCodec.terminalRecord(spec, TerminalState.DONE)));
    assertEquals(
        "{\"s\":\"aborted\",\"t\":\"red\",\"n\":16}",
        Json.text(JobRecordCodec.terminalRecord(spec, TerminalState.CANCELLED)));
  }
}
