package org.sandford.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsLoaderTest {
  private static final String VALID_TOML =
      """
      label = "c0"
      zone = "a"
      listen = "10.0.0.1:8080"
      peer_listen = "10.0.0.1:8081"
      not_known = 7
      [[others]]
      label = "c1"
      zone = "b"
      address = "10.0.0.2:8081"
      [services]
      cloud = "10.2.0.2:8443"
      state = "10.2.0.1:2379"
      [facts]
      zones = ["a", "b"]
      [[facts.teams]]
      name = "red"
      cpus = 8.0
      cpus_max = 16.0
      [facts.workers]
      report_s = 2.0
      lease_s = 16.0
      cancel_s = 46.0
      [facts.state]
      rps = 250.0
      write_rps = 50.0
      value_kb = 16.0
      txn_ops = 24
      [facts.cloud]
      rps = 2.0
      [facts.machine_limits]
      sockets = 900
      """;

  @TempDir Path dir;

  private Path writeFile(String name, String text) throws IOException {
    return Files.writeString(dir.resolve(name), text);
  }

  @Test
  void smallerOfCurrentAndAnnouncedStoreLimitApplies() throws Exception {
    String announcedLimits =
        "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 30\nwrite_rps = 35.0\n[facts.cloud]";
    Settings.Facts facts =
        SettingsLoader.load(
                writeFile("s.toml", VALID_TOML.replace("[facts.cloud]", announcedLimits)), null)
            .facts();
    assertEquals(2048, facts.storeValueBytes());
    assertEquals(24, facts.storeTxnOps(), "the announced limit is larger");
    assertEquals(35.0, facts.storeWriteRps());
    assertEquals(250.0, facts.storeRps(), "no limit is announced");
  }

  @Test
  void gangTimeoutsHaveDefaults() throws Exception {
    Settings.Facts defaults = SettingsLoader.load(writeFile("s.toml", VALID_TOML), null).facts();
    assertEquals(30.0, defaults.gangWaitS());
    assertEquals(8.0, defaults.gangPeerS());
    String gangTimeouts = "gang_wait_s = 50.0\ngang_peer_s = 6.0\n[facts.state]";
    Settings.Facts facts =
        SettingsLoader.load(
                writeFile("t.toml", VALID_TOML.replace("[facts.state]", gangTimeouts)), null)
            .facts();
    assertEquals(50.0, facts.gangWaitS());
    assertEquals(6.0, facts.gangPeerS());
    assertTrue(
        loadError(VALID_TOML.replace("[facts.cloud]", "next = 5\n[facts.cloud]"))
            .contains("facts.state.next"));
  }

  private String loadError(String toml) throws IOException {
    Path file = writeFile("s.toml", toml);
    return assertThrows(SettingsException.class, () -> SettingsLoader.load(file, null))
        .getMessage();
  }

  @Test
  void validSettingsAreLoadedAndUnknownTomlKeysIgnored() throws Exception {
    Settings settings = SettingsLoader.load(writeFile("s.toml", VALID_TOML), null);
    assertEquals("c0", settings.label());
    assertEquals(16 * 1024, settings.facts().storeValueBytes());
    assertEquals(16.0, settings.facts().teams().get("red").cpusMax());
    assertEquals("10.0.0.2:8081", settings.peers().get(0).address().toString());
    assertTrue(settings.operators().useSpot());
  }

  /** Guards against reading 0 as a limit, which rejected all jobs of an unlimited team with 422. */
  @Test
  void zeroLimitMeansNoLimit() throws Exception {
    String unlimitedTeam =
        "[[facts.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\n[facts.workers]";
    Settings.Team team =
        SettingsLoader.load(
                writeFile("s.toml", VALID_TOML.replace("[facts.workers]", unlimitedTeam)), null)
            .facts()
            .teams()
            .get("guests");
    assertEquals(0.0, team.guaranteedCpus(), "no guarantee");
    assertEquals(Settings.Team.NO_LIMIT, team.cpusMax());
    assertEquals(Settings.Team.NO_LIMIT, team.gpusMax());
  }

  @Test
  void errorsNameFileKeyAndExpectedValue() throws IOException {
    String missing = loadError(VALID_TOML.replace("label = \"c0\"\n", ""));
    assertTrue(missing.contains("s.toml: label: expected"), missing);
    String wrongType = loadError(VALID_TOML.replace("lease_s = 16.0", "lease_s = \"x\""));
    assertTrue(wrongType.contains("facts.workers.lease_s: expected a number"), wrongType);
    String address = loadError(VALID_TOML.replace("10.0.0.2:8081", "nowhere"));
    assertTrue(address.contains("others[0].address: expected an address"), address);
    String cancelBelowLease = loadError(VALID_TOML.replace("cancel_s = 46.0", "cancel_s = 10.0"));
    assertTrue(
        cancelBelowLease.contains("facts.workers.cancel_s: expected more"), cancelBelowLease);
    String notToml = loadError("label = ");
    assertTrue(notToml.contains("not TOML"), notToml);
    assertFalse(notToml.contains("\n"), notToml);
  }

  @Test
  void operatorSettingsAreValidatedAndUnknownKeysRejected() throws Exception {
    Path toml = writeFile("s.toml", VALID_TOML);
    Path good = writeFile("o.ini", "[fleet]\nmax_machines = 12\nuse_spot = false\n");
    Settings settings = SettingsLoader.load(toml, good);
    assertEquals(12, settings.operators().maxMachines());
    assertFalse(settings.operators().useSpot());
    Path unknownKey = writeFile("u.ini", "[fleet]\nmax_machine = 12\n");
    String unknownKeyMessage =
        assertThrows(SettingsException.class, () -> SettingsLoader.load(toml, unknownKey))
            .getMessage();
    assertTrue(unknownKeyMessage.contains("fleet.max_machine: unknown key"), unknownKeyMessage);
    Path badValue = writeFile("w.ini", "[fleet]\nuse_spot = perhaps\n");
    String badValueMessage =
        assertThrows(SettingsException.class, () -> SettingsLoader.load(toml, badValue))
            .getMessage();
    assertTrue(badValueMessage.contains("fleet.use_spot: expected true or false"), badValueMessage);
  }
}
