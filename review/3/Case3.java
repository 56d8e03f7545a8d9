import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A controller stands still for seconds while one of its machines stops with a task on it and is
 * replaced. Later jobs of the task's team must run within the team's limit all the same.
 */
final class Case3 {
  private static final double WAIT_S = 90;
    private static final String TEAM = "projeto-rotor-07";

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args, Site.JAGUARIBE);
    double limit = rig.site.cpusMax();
    rig.cloud.addKind("xenon-desk", 16, 128, 0.91, 0.41, 35, "litoral", "serra");
    rig.cloud.bootS = 25;
    rig.createControllers();
    for (int i = 0; i < 9; i++) {
      rig.cloud.rent("xenon-desk", i % 2 == 0 ? "serra" : "litoral", false, 0);
    }
    rig.controllers.forEach(Rig.Controller::start);
    if (!rig.awaitHealthy(3, 30)) {
      rig.finish(2, "the controllers did not become healthy");
    }
    // Six services that fill a machine each: some are on another controller's machines.
    String teamOwner = rig.store.value("c/teams").path("t").path(TEAM).path(0).asText();
    List<String> services = List.of("wk-000001", "wk-000002", "wk-000003", "wk-000004", "wk-000005", "wk-000006");
    for (String id : services) {
      if (rig.submit(Rig.job(id, TEAM, "standing", "production", 1, 16, 32)) != 201) {
        rig.finish(2, "a service was not accepted");
      }
    }
    String chosen = "";
    Cloud.Host host = null;
    for (String id : services) {
      Cloud.Host runsOn = await(rig, id + "/0", 10);
      if (runsOn == null) {
        rig.finish(2, "a service did not start");
      }
      if (!teamOwner.startsWith(runsOn.worker.answeredBy + "#")) {
        chosen = id;
        host = runsOn;
      }
    }
    if (host == null) {
      rig.finish(2, "no service runs on another controller's machine");
    }
    Rig.sleep(500);
    if (rig.trouble) {
      Rig.Controller owner = rig.controller(host.worker.answeredBy);
      owner.signal("STOP");
      Rig.sleep(500);
      rig.cloud.die(host.name);
      double until = rig.record.seconds() + 30;
      while (!rig.cloud.isGone(host.name) && rig.record.seconds() < until) {
        Rig.sleep(50);
      }
      if (!rig.cloud.isGone(host.name)) {
        rig.finish(2, "the dead machine was not returned");
      }
      Rig.sleep(1_000);
      // Answers of the state service take now and then a few hundred milliseconds.
      rig.store.slowMs.put(owner.label, 300);
      owner.signal("CONT");
      Rig.after(1_000, () -> rig.store.slowMs.remove(owner.label));
      if (await(rig, chosen + "/0", 10) == null) {
        rig.finish(2, "the service did not start again");
      }
      Rig.sleep(2_500);
      if (!rig.awaitHealthy(3, 10)) {
        rig.finish(2, "the controllers did not become healthy again");
      }
    }
    rig.record.line("the troubles are over");
    double submittedAt = rig.record.seconds();
    ObjectNode job = Rig.job("wk-000011", TEAM, "array", "urgent", 1, 16, 32);
    if (rig.submit(job) != 201) {
      rig.finish(2, "the job was not accepted");
    }
    rig.submit(Rig.job("wk-000012", "projeto-rotor-01", "array", "urgent", 1, 16, 32));
    Rig.Seen last = rig.awaitEnd(job, submittedAt + WAIT_S + 1);
    String control = rig.poll("wk-000012").body().path("status").asText();
    double used = rig.cloud.usedBy(TEAM);
    long started = rig.tasksStarted("wk-000011");
    String seen =
        "job of " + TEAM + " is " + last.status() + ", tasks started " + started + "; the team uses " + used
            + " of " + limit + " CPUs; job of another team: " + control;
    if (started == 0 && last.alwaysRoom() && used + 16 <= limit) {
      rig.finish(1, "left waiting for " + (int) WAIT_S + " s beside a free machine: " + seen);
    }
    rig.finish(started > 0 ? 0 : 2, seen);
  }

  /** Waits until a live machine runs the task; returns the machine, or null. */
  private static Cloud.Host await(Rig rig, String piece, double seconds) {
    double until = rig.record.seconds() + seconds;
    while (rig.record.seconds() < until) {
      for (Cloud.Host host : new ArrayList<>(rig.cloud.hosts.values())) {
        if (host.worker != null && host.worker.holds(piece)) {
          return host;
        }
      }
      Rig.sleep(50);
    }
    return null;
  }
}
