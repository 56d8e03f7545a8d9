package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.settings.Settings;

/**
 * Holds a parsed scenario: the settings of its cluster, and its steps in order of time. A line is a
 * setting with its values, or {@code at SECONDS STEP ...}; {@code #} begins a comment.
 */
final class ScenarioScript {
  /** Holds one step, with its file and line for error messages. */
  record Step(double at, String file, int line, String text, List<String> words) {
    String verb() {
      return words.get(0);
    }

    String word(int index) {
      return words.get(index);
    }

    boolean hasWord(int index) {
      return words.size() > index;
    }

    int intAt(int index) {
      return Integer.parseInt(words.get(index));
    }

    double doubleAt(int index) {
      return Double.parseDouble(words.get(index));
    }

    /** Returns whether the word is {@code on}. */
    boolean isOn(int index) {
      return words.get(index).equals("on");
    }

    IllegalArgumentException syntaxError() {
      return ScenarioScript.syntaxError(file, line, text);
    }
  }

  final List<Step> steps = new ArrayList<>();

  /** The teams by name, with guarantee and limit. */
  final Map<String, Settings.Team> teams = new LinkedHashMap<>();

  final double reportS;
  final double leaseS;
  final double cancelS;
  long seed = 7;
  int controllers = 3;

  /** The number of spot machines, and of on-demand machines, that the cloud has in each zone. */
  int poolSize = 4;

  int machinesAtStart = 1;
  int valueBytes = 16 * 1024;
  int txnOps = 24;
  double writeRps = 50;
  double cloudRps = 5;

  /**
   * The limits that the store will have at some time after the upgrade; 0 when they don't change.
   * The production version does not know them.
   */
  int nextValueBytes;

  int nextTxnOps;

  /** Whether controllers run the production version until they are upgraded. */
  boolean startsWithProductionVersion;

  double gangWaitS = 30;
  double gangPeerS = 8;
  double endS = 60;

  private final Map<String, Consumer<Step>> settings = new HashMap<>();

  /** Parses a scenario with the given periods of heartbeats, leases and cancellations. */
  ScenarioScript(String name, List<String> lines, double[] workerPeriods) {
    reportS = workerPeriods[0];
    leaseS = workerPeriods[1];
    cancelS = workerPeriods[2];
    registerSettings();
    for (int i = 0; i < lines.size(); i++) {
      String text = lines.get(i).replaceAll("#.*", "").trim();
      if (!text.isEmpty()) {
        parse(name, i + 1, text);
      }
    }
    if (teams.isEmpty()) {
      teams.put("red", new Settings.Team("red", 8, 16, 0, 0));
    }
  }

  /**
   * Returns the periods of heartbeats, leases and cancellations of each {@code worker_periods}
   * line, or the default ones.
   */
  static List<double[]> workerPeriods(List<String> lines) {
    List<double[]> out = new ArrayList<>();
    for (String line : lines) {
      String[] words = line.trim().split("\\s+", -1);
      if (words[0].equals("worker_periods")) {
        out.add(
            new double[] {
              Double.parseDouble(words[1]),
              Double.parseDouble(words[2]),
              Double.parseDouble(words[3])
            });
      }
    }
    return out.isEmpty() ? List.of(new double[] {2, 16, 46}) : out;
  }

  private void registerSettings() {
    settings.put("seed", line -> seed = Long.parseLong(line.word(1)));
    settings.put("controllers", line -> controllers = line.intAt(1));
    settings.put("pool_size", line -> poolSize = line.intAt(1));
    settings.put("worker_periods", line -> {}); // Read by workerPeriods().
    settings.put("machines", line -> machinesAtStart = line.intAt(1));
    settings.put("value_bytes", line -> valueBytes = line.intAt(1));
    settings.put("next_limits", this::readNextLimits);
    settings.put("start_with_production", line -> startsWithProductionVersion = true);
    settings.put("txn_ops", line -> txnOps = line.intAt(1));
    settings.put("cloud_rps", line -> cloudRps = line.doubleAt(1));
    settings.put("write_rps", line -> writeRps = line.doubleAt(1));
    settings.put("gang_timeouts", this::readGangTimeouts);
    settings.put("until", line -> endS = line.doubleAt(1));
    settings.put("team", this::readTeam);
  }

  private void parse(String file, int lineNumber, String text) {
    List<String> words = List.of(text.split("\\s+", -1));
    if (words.get(0).equals("at")) {
      double at = Double.parseDouble(words.get(1));
      steps.add(new Step(at, file, lineNumber, text, words.subList(2, words.size())));
      return;
    }
    Consumer<Step> setting = settings.get(words.get(0));
    if (setting == null) {
      throw syntaxError(file, lineNumber, text);
    }
    setting.accept(new Step(0, file, lineNumber, text, words));
  }

  private void readNextLimits(Step line) {
    nextValueBytes = line.intAt(1);
    nextTxnOps = line.intAt(2);
  }

  private void readGangTimeouts(Step line) {
    gangWaitS = line.doubleAt(1);
    gangPeerS = line.doubleAt(2);
  }

  private void readTeam(Step line) {
    Settings.Team team =
        Settings.Team.fromFacts(line.word(1), line.doubleAt(2), line.doubleAt(3), 0, 0);
    teams.put(team.name(), team);
  }

  private static IllegalArgumentException syntaxError(String file, int line, String text) {
    return new IllegalArgumentException(
        file + ":" + line + ": unknown step, setting or value: " + text);
  }
}
