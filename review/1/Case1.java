import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The leader ends while it moves a team from one controller to another that joined later: its
 * transaction with the new owner is lost with it. Jobs of the team must run all the same.
 */
final class Case1 {
  private static final double WAIT_S = 90;

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args, Site.JAGUARIBE);
    List<String> teams = rig.site.teams();
    rig.cloud.addKind("xenon-desk", 16, 128, 0.91, 0.41, 35, "litoral", "serra");
    rig.createControllers();
    for (int i = 0; i < 4; i++) {
      rig.cloud.rent("xenon-desk", i % 2 == 0 ? "serra" : "litoral", false, 0);
    }
    AtomicReference<String> movedTeam = new AtomicReference<>();
    rig.store.filter = (sender, transaction) -> execute(rig, movedTeam, sender, transaction);
    rig.controllers.get(0).start();
    rig.controllers.get(1).start();
    // The third joins once the first two have divided the teams, as after a restart.
    double until = rig.record.seconds() + 10;
    while (rig.store.value("c/teams") == null && rig.record.seconds() < until) {
      Rig.sleep(50);
    }
    rig.controllers.get(2).start();
    while (movedTeam.get() == null && rig.record.seconds() < 20) {
      Rig.sleep(50);
    }
    String team = movedTeam.get();
    if (team == null) {
      rig.finish(2, "no team was moved");
    }
    Rig.sleep(rig.trouble ? 6_000 : 500);
    if (!rig.awaitHealthy(3, 10)) {
      rig.finish(2, "the controllers did not become healthy");
    }
    rig.record.line("the troubles are over");
    // One job of the moved team, another that its user cancels, and one of each other team.
    double submittedAt = rig.record.seconds();
    ObjectNode job = Rig.job("wk-000001", team, "array", "urgent", 2, 2, 4);
    int status = rig.submit(job);
    int statusOfOther = rig.submit(Rig.job("wk-000002", team, "array", "urgent", 2, 2, 4));
    if (status != 201 || statusOfOther != 201) {
      rig.finish(2, "the jobs were not accepted: " + status + " " + statusOfOther);
    }
    int number = 10;
    List<String> controls = new ArrayList<>();
    for (String other : teams) {
      if (!other.equals(team)) {
        String id = String.format("wk-%06d", ++number);
        controls.add(id);
        rig.submit(Rig.job(id, other, "array", "urgent", 2, 2, 4));
      }
    }
    Net.Answer cancelled = rig.repeat("POST", "/work/wk-000002/abort", null, 60, 5_000);
    Rig.Seen last = rig.awaitEnd(job, submittedAt + WAIT_S + 2);
    for (String id : controls) {
      rig.poll(id);
    }
    long controlsStarted = controls.stream().filter(id -> rig.tasksStarted(id) > 0).count();
    long started = rig.tasksStarted("wk-000001");
    String seen =
        "job of the moved team " + team + " is " + last.status() + ", tasks started " + started
            + "; last answer to the cancellation " + cancelled.status()
            + "; jobs of other teams started " + controlsStarted + " of " + controls.size();
    if (controlsStarted == 0) {
      rig.finish(2, "nothing runs at all: " + seen);
    }
    if (started == 0 && last.alwaysRoom()) {
      rig.finish(1, "left waiting for " + (int) WAIT_S + " s beside free machines: " + seen);
    }
    rig.finish(started > 0 ? 0 : 2, seen);
  }

  /** Ends the leader, and loses its transaction, when it moves a team of another live controller. */
  private static boolean execute(
      Rig rig, AtomicReference<String> movedTeam, String sender, JsonNode transaction) {
    JsonNode current = rig.store.value("c/teams");
    if (current == null || movedTeam.get() != null) {
      return true;
    }
    List<String> members = rig.store.keys("c/ctl/");
    for (JsonNode write : transaction.path("writes")) {
      if (!write.path("put").asText().equals("c/teams")) {
        continue;
      }
      for (String team : (Iterable<String>) () -> current.path("t").fieldNames()) {
        String before = current.path("t").path(team).path(0).asText();
        String after = write.path("v").path("t").path(team).path(0).asText();
        String label = before.split("#")[0];
        boolean ownerLives =
            members.contains("c/ctl/" + label)
                && rig.store.value("c/ctl/" + label).toString().contains(before);
        if (!before.equals(after) && ownerLives && !label.equals(sender)) {
          movedTeam.set(team);
          rig.record.line(
              "state: " + sender + " asks to move " + team + " from " + before + " to " + after);
          if (rig.trouble) {
            rig.controller(sender).kill();
            return false;
          }
          return true;
        }
      }
    }
    return true;
  }
}
