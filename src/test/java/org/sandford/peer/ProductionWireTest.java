package org.sandford.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.HexFormat;
import java.util.List;
import java.util.Properties;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.junit.jupiter.api.Test;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.Frame;
import org.sandford.peer.wire.Hello;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.Reservation;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.StopTask;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.peer.wire.Victim;
import org.sandford.peer.wire.Welcome;

/**
 * Compares encoded frames with those of the production version, byte by byte. Both versions run
 * side by side during an upgrade, and production refuses a link with any other schema; so the
 * schema must not change while production may still run.
 */
class ProductionWireTest {
  private static final long PRODUCTION_FINGERPRINT = 0xd0f6fd519bbc5261L;

  private final FrameCodec codec = new FrameCodec();

  private void assertFrame(String productionHex, Object message) throws IOException {
    assertEquals(productionHex, HexFormat.of().formatHex(codec.encode(message)));
    assertEquals(message, codec.decode(HexFormat.of().parseHex(productionHex)));
  }

  @Test
  void helloCarriesTheFingerprintOfTheProductionSchema() throws IOException {
    assertEquals(
        PRODUCTION_FINGERPRINT, SchemaNormalization.parsingFingerprint64(productionFrameSchema()));
    assertEquals(PRODUCTION_FINGERPRINT, FrameCodec.PRODUCTION_SCHEMA_FINGERPRINT);
  }

  /**
   * The current schema has the same types, fields and symbols as the production schema, in the same
   * order; only names differ.
   */
  @Test
  void schemaEqualsTheRenamedProductionSchema() throws IOException {
    Schema renamed = new SchemaRenamer(newNames()).rename(productionFrameSchema());
    assertEquals(
        SchemaNormalization.toParsingForm(renamed),
        SchemaNormalization.toParsingForm(Frame.getClassSchema()));
  }

  private static Schema productionFrameSchema() throws IOException {
    try (InputStream schema =
        ProductionWireTest.class.getResourceAsStream("/peer-schema-production.avsc")) {
      return new Schema.Parser().parse(schema);
    }
  }

  private static Properties newNames() throws IOException {
    try (InputStream names =
        ProductionWireTest.class.getResourceAsStream("/peer-schema-names.properties")) {
      Properties properties = new Properties();
      properties.load(names);
      return properties;
    }
  }

  @Test
  void handshakesEncodeAsInProduction() throws IOException {
    assertFrame(
        "0010776f726b65722d300612bdb69dc4ccab81895e",
        new Hello("worker-0", 3L, 9L, PRODUCTION_FINGERPRINT));
    assertFrame("0210776f726b65722d3108", new Welcome("worker-1", 4L));
  }

  @Test
  void snapshotUpdatesEncodeAsInProduction() throws IOException {
    TaskSnapshot task =
        new TaskSnapshot(
            "wk-000412",
            3,
            16777217L,
            TaskState.RUNNING,
            ExitCause.NONE,
            true,
            "red",
            1,
            2.0,
            0.0,
            8.5,
            "img",
            1.5);
    MachineSnapshot machine =
        new MachineSnapshot(
            "n-000231",
            41L,
            MachineState.UP,
            "m8",
            "a",
            true,
            List.of(task),
            List.of("img"),
            false,
            true,
            false,
            List.of(new Reservation("wk-7", 1, 50L, 1.0, 0.0, 2.0)));
    assertFrame(
        "040102106e2d3030303233315204046d380261010212776b2d303030343132068280801004000106726564020000000000000040"
            + "0000000000000000000000000000214006696d67000000000000f83f000206696d67000001000208776b2d37026400000000"
            + "0000f03f00000000000000000000000000000040000002106e2d3030303030310001",
        new SnapshotUpdate(true, List.of(machine), List.of("n-000001"), true));
  }

  @Test
  void requestsEncodeAsInProduction() throws IOException {
    assertFrame(
        "0e0672656404106e2d3030303233315212776b2d30303034313206828080100264000000000000004000000000000000000000000000"
            + "00214006696d67",
        new StartTask(
            "red", 2L, "n-000231", 41L, "wk-000412", 3, 16777217L, 1, 50L, 2.0, 0.0, 8.5, "img"));
    assertFrame(
        "120672656404106e2d30303032333112776b2d303030343132068280801014",
        new StopTask("red", 2L, "n-000231", "wk-000412", 3, 16777217L, 10));
    assertFrame(
        "1606726564106e2d30303032333108776b2d370264000000000000f03f00000000000000000000000000000040021277"
            + "6b2d30303034313206828080100014",
        new Preempt(
            "red",
            "n-000231",
            "wk-7",
            1,
            50L,
            1.0,
            0.0,
            2.0,
            List.of(new Victim("wk-000412", 3, 16777217L)),
            10));
  }
}
