package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.settings.Settings;

/**
 * A parsed scenario: the cluster that it asks for, and its steps in order of time. A line is a
 * setting with its values, or {@code at SECONDS STEP ...}; {@code #} begins a comment.
 */
final class ScenarioScript {
  /** One step, with its place in the file for complaints. */
  record Step(double at, String file, int line, String text, List<String> words) {
    String verb() {
      return words.get(0);
    }

    String word(int index) {
      return words.get(index);
    }

    boolean has(int index) {
      return words.size() > index;
    }

    int number(int index) {
      return Integer.parseInt(words.get(index));
    }

    double amount(int index) {
      return Double.parseDouble(words.get(index));
    }

    /** Whether the word is {@code on}. */
    boolean on(int index) {
      return words.get(index).equals("on");
    }

    IllegalArgumentException notUnderstood() {
      return ScenarioScript.notUnderstood(file, line, text);
    }
  }

  final List<Step> steps = new ArrayList<>();

  /** Teams by name, with guarantee and limit. */
  final Map<String, Settings.Team> teams = new LinkedHashMap<>();

  final double reportS;
  final double leaseS;
  final double cancelS;
  long seed = 7;
  int controllers = 3;

  /** Machines that the cloud has in each zone, spot and ordinary ones each. */
  int poolSize = 4;

  int machinesAtStart = 1;
  int valueBytes = 16 * 1024;
  int txnOps = 24;
  double writeRps = 50;

  /**
   * The limits that the store will have from some moment after the upgrade; 0 when it keeps its
   * own. A production version does not know them.
   */
  int nextValueBytes;

  int nextTxnOps;

  /** Whether controllers behave as the production version does until they are upgraded. */
  boolean beginsWithProduction;

  double gangWaitS = 30;
  double gangPeerS = 8;
  double until = 60;

  private final Map<String, Consumer<Step>> settings = new HashMap<>();

  /** Parses with the periods of heartbeats, leases and cancellations given as {@code workers}. */
  ScenarioScript(String name, List<String> lines, double[] workers) {
    reportS = workers[0];
    leaseS = workers[1];
    cancelS = workers[2];
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
   * The periods of heartbeats, leases and cancellations that a scenario file asks for, or the usual
   * ones.
   */
  static List<double[]> workers(List<String> lines) {
    List<double[]> out = new ArrayList<>();
    for (String line : lines) {
      String[] words = line.trim().split("\\s+", -1);
      if (words[0].equals("workers")) {
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
    settings.put("controllers", line -> controllers = line.number(1));
    settings.put("pool", line -> poolSize = line.number(1));
    settings.put("workers", line -> {}); // Read by workers().
    settings.put("machines", line -> machinesAtStart = line.number(1));
    settings.put("value_bytes", line -> valueBytes = line.number(1));
    settings.put("next_limits", this::readNextLimits);
    settings.put("begins_old", line -> beginsWithProduction = true);
    settings.put("txn_ops", line -> txnOps = line.number(1));
    settings.put("write_rps", line -> writeRps = line.amount(1));
    settings.put("gang_times", this::readGangTimes);
    settings.put("until", line -> until = line.amount(1));
    settings.put("team", this::readTeam);
  }

  private void parse(String file, int number, String text) {
    List<String> words = List.of(text.split("\\s+", -1));
    if (words.get(0).equals("at")) {
      double at = Double.parseDouble(words.get(1));
      steps.add(new Step(at, file, number, text, words.subList(2, words.size())));
      return;
    }
    Consumer<Step> setting = settings.get(words.get(0));
    if (setting == null) {
      throw notUnderstood(file, number, text);
    }
    setting.accept(new Step(0, file, number, text, words));
  }

  private void readNextLimits(Step line) {
    nextValueBytes = line.number(1);
    nextTxnOps = line.number(2);
  }

  private void readGangTimes(Step line) {
    gangWaitS = line.amount(1);
    gangPeerS = line.amount(2);
  }

  private void readTeam(Step line) {
    Settings.Team team =
        Settings.Team.fromFacts(line.word(1), line.amount(2), line.amount(3), 0, 0);
    teams.put(team.name(), team);
  }

  private static IllegalArgumentException notUnderstood(String file, int line, String text) {
    return new IllegalArgumentException(file + ":" + line + ": not understood: " + text);
  }
}
