package org.sandford.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.GangConstants;
import org.sandford.constants.ScalingConstants;

/** Reads and validates the platform's TOML file and the operators' INI file. */
public final class SettingsLoader {
  private static final Set<String> INI_KEYS =
      Set.of("fleet.max_machines", "fleet.use_spot", "fleet.idle_return_s");

  private SettingsLoader() {}

  /**
   * Reads both files.
   *
   * @param toml the platform's file
   * @param ini the operators' file, or null for the defaults
   * @throws SettingsException if a file cannot be read or holds an invalid value
   */
  public static Settings load(Path toml, Path ini) throws SettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(toml));
    } catch (JsonProcessingException e) {
      throw new SettingsException(toml + ": not TOML: " + oneLine(e.getOriginalMessage()));
    } catch (IOException e) {
      throw new SettingsException(toml + ": cannot be read: " + oneLine(e.toString()));
    }
    return parse(toml.toString(), root, loadOperators(ini));
  }

  /** Validates parsed settings; error messages name {@code file}. */
  static Settings parse(String file, JsonNode root, Settings.Operators operators)
      throws SettingsException {
    Table top = new Table(file, "", root);
    List<Settings.Peer> peers = new ArrayList<>();
    for (Table peer : top.tables("others")) {
      peers.add(new Settings.Peer(peer.text("label"), peer.text("zone"), peer.endpoint("address")));
    }
    Table services = top.table("services");
    Table facts = top.table("facts");
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (Table team : facts.tables("teams")) {
      String name = team.text("name");
      teams.put(
          name,
          Settings.Team.fromFacts(
              name,
              team.number("cpus", 0, 0),
              team.number("cpus_max", 0, 0),
              team.number("gpus", 0, 0),
              team.number("gpus_max", 0, 0)));
    }
    Table workers = facts.table("workers");
    StoreLimits storeLimits = StoreLimits.read(facts.table("state"));
    Table cloud = facts.table("cloud");
    Table machineLimits = facts.table("machine_limits");
    Settings settings =
        new Settings(
            top.text("label"),
            top.text("zone"),
            top.endpoint("listen"),
            top.endpoint("peer_listen"),
            List.copyOf(peers),
            services.endpoint("cloud"),
            services.endpoint("state"),
            new Settings.Facts(
                facts.textList("zones"),
                Map.copyOf(teams),
                workers.number("report_s", 0.1, Double.NaN),
                workers.number("lease_s", 1, Double.NaN),
                workers.number("cancel_s", 1, Double.NaN),
                workers.number("gang_wait_s", 1, GangConstants.DEFAULT_GANG_WAIT_S),
                workers.number("gang_peer_s", 0.1, GangConstants.DEFAULT_GANG_PEER_S),
                storeLimits.requestsPerSecond(),
                storeLimits.writesPerSecond(),
                storeLimits.valueBytes(),
                storeLimits.operationsPerTransaction(),
                cloud.number("rps", 0.01, Double.NaN),
                cloud.number("list_lag_s", 0, 0),
                (int) machineLimits.number("sockets", 16, ApiConstants.DEFAULT_SOCKETS),
                1 + peers.size()),
            operators);
    if (settings.facts().cancelS() <= settings.facts().leaseS()) {
      throw new SettingsException(
          file + ": facts.workers.cancel_s: expected more than facts.workers.lease_s");
    }
    return settings;
  }

  /** Reads the operators' INI file; uses the defaults if it is null. */
  static Settings.Operators loadOperators(Path ini) throws SettingsException {
    INIConfiguration config = new INIConfiguration();
    if (ini != null) {
      try (Reader in = Files.newBufferedReader(ini)) {
        config.read(in);
      } catch (ConfigurationException e) {
        throw new SettingsException(ini + ": not INI: " + oneLine(e.getMessage()));
      } catch (IOException e) {
        throw new SettingsException(ini + ": cannot be read: " + oneLine(e.toString()));
      }
    }
    for (Iterator<String> keys = config.getKeys(); keys.hasNext(); ) {
      String key = keys.next();
      if (!INI_KEYS.contains(key)) {
        throw new SettingsException(
            ini + ": " + key + ": unknown key; expected one of " + new TreeSet<>(INI_KEYS));
      }
    }
    double maxMachines =
        iniNumber(ini, config, "fleet.max_machines", ScalingConstants.DEFAULT_MAX_MACHINES, 1);
    double idleDecommissionS =
        iniNumber(
            ini, config, "fleet.idle_return_s", ScalingConstants.DEFAULT_IDLE_DECOMMISSION_S, 1);
    String useSpot = config.getString("fleet.use_spot", "true");
    if (!useSpot.equals("true") && !useSpot.equals("false")) {
      throw new SettingsException(ini + ": fleet.use_spot: expected true or false, got " + useSpot);
    }
    return new Settings.Operators((int) maxMachines, useSpot.equals("true"), idleDecommissionS);
  }

  private static double iniNumber(
      Path ini, INIConfiguration config, String key, double defaultValue, double min)
      throws SettingsException {
    String text = config.getString(key);
    if (text == null) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= min && value < 1e9) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The error below names the invalid text.
    }
    throw new SettingsException(
        ini + ": " + key + ": expected a number of at least " + min + ", got " + text);
  }

  private static String oneLine(String text) {
    return text == null ? "unknown error" : text.replaceAll("\\s+", " ").trim();
  }

  /** The limits of the store, valid now and after the announced change. */
  private record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int valueBytes,
      int operationsPerTransaction) {
    /**
     * Returns the smaller of each current limit and the one that {@code next} announces; a limit
     * that is missing there does not change.
     */
    static StoreLimits read(Table state) throws SettingsException {
      return new StoreLimits(
          effectiveLimit(state, "rps"),
          effectiveLimit(state, "write_rps"),
          (int) (effectiveLimit(state, "value_kb") * 1024),
          (int) effectiveLimit(state, "txn_ops"));
    }

    private static double effectiveLimit(Table state, String key) throws SettingsException {
      double current = state.number(key, 1, Double.NaN);
      Table next = state.optionalTable("next");
      return next == null ? current : Math.min(current, next.number(key, 1, current));
    }
  }

  /** A table of the TOML file, with its path for error messages. */
  private record Table(String file, String path, JsonNode node) {
    private SettingsException invalid(String key, String expected) {
      return new SettingsException(file + ": " + path + key + ": expected " + expected);
    }

    Table table(String key) throws SettingsException {
      JsonNode value = node.path(key);
      if (!value.isObject()) {
        throw invalid(key, "a table");
      }
      return new Table(file, path + key + ".", value);
    }

    /** Returns the table, or null if there is none. */
    Table optionalTable(String key) throws SettingsException {
      return node.path(key).isMissingNode() ? null : table(key);
    }

    List<Table> tables(String key) throws SettingsException {
      JsonNode value = node.path(key);
      if (value.isMissingNode()) {
        return List.of();
      }
      if (!value.isArray()) {
        throw invalid(key, "a list of tables");
      }
      List<Table> result = new ArrayList<>();
      for (int i = 0; i < value.size(); i++) {
        if (!value.get(i).isObject()) {
          throw invalid(key + "[" + i + "]", "a table");
        }
        result.add(new Table(file, path + key + "[" + i + "].", value.get(i)));
      }
      return result;
    }

    String text(String key) throws SettingsException {
      JsonNode value = node.path(key);
      if (!value.isTextual() || value.asText().isEmpty()) {
        throw invalid(key, "a non-empty string");
      }
      return value.asText();
    }

    List<String> textList(String key) throws SettingsException {
      JsonNode value = node.path(key);
      List<String> result = new ArrayList<>();
      for (JsonNode item : value) {
        if (!item.isTextual()) {
          throw invalid(key, "a list of strings");
        }
        result.add(item.asText());
      }
      if (result.isEmpty()) {
        throw invalid(key, "a non-empty list of strings");
      }
      return List.copyOf(result);
    }

    double number(String key, double min, double defaultValue) throws SettingsException {
      JsonNode value = node.path(key);
      if (value.isMissingNode() && !Double.isNaN(defaultValue)) {
        return defaultValue;
      }
      if (!value.isNumber() || value.asDouble() < min || Double.isInfinite(value.asDouble())) {
        throw invalid(key, "a number of at least " + min);
      }
      return value.asDouble();
    }

    Settings.Endpoint endpoint(String key) throws SettingsException {
      String text = text(key);
      try {
        HostAndPort parsed = HostAndPort.fromString(text);
        if (parsed.hasPort() && !parsed.getHost().isEmpty()) {
          return new Settings.Endpoint(parsed.getHost(), parsed.getPort());
        }
      } catch (IllegalArgumentException e) {
        // The error below tells the expected form.
      }
      throw invalid(key, "an address like 10.0.0.1:8080, got " + text);
    }
  }
}
