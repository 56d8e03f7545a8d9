package review2;

import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One job of a user, and what its user was told. Fields may be set before it is submitted. */
final class Job {
  final String id;
  String jobClass = "review";
  String team;
  String shape = "array";
  String rank = "normal";
  int pieces = 1;
  double vcpus = 1;
  double ramGb = 1;
  String site;
  boolean together;
  boolean scatter;
  boolean reclaimable;
  String build = "img-01";
  double imageGb = 0.1;
  double runS = 10;

  /** Whether it was submitted with a mistake, so that each of its tasks fails. */
  boolean broken;

  volatile long acceptedAt;
  volatile long cancelAskedAt;
  volatile long cancelConfirmedAt;
  volatile String told = "";
  volatile long toldAt;
  volatile long firstStartAt;
  final Set<Integer> done = ConcurrentHashMap.newKeySet();

  Job(String id, String team) {
    this.id = id;
    this.team = team;
  }

  boolean isGang() {
    return shape.equals("ensemble");
  }

  boolean isService() {
    return shape.equals("standing");
  }

  String body() {
    return String.format(
        Locale.ROOT,
        "{\"name_id\":\"%s\",\"job_class\":\"%s\",\"owner\":\"%s\",\"shape\":\"%s\",\"rank\":\"%s\","
            + "\"pieces\":%d,\"vcpus\":%s,\"accelerators\":0.0,\"ram_gb\":%s,\"build\":\"%s\","
            + "\"image_gb\":%s,\"machine_kinds\":null,\"site\":%s,\"together\":%b,\"scatter\":%b,"
            + "\"reclaimable\":%b,\"expected_s\":%s,\"save_every_s\":0.0,\"save_cost_s\":0.0,"
            + "\"due_s\":null}",
        id,
        jobClass,
        team,
        shape,
        rank,
        pieces,
        vcpus,
        ramGb,
        build,
        imageGb,
        site == null ? "null" : "\"" + site + "\"",
        together,
        scatter,
        reclaimable,
        isService() ? 0.0 : runS);
  }
}
