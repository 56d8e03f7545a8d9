import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A cheap machine is taken back while it boots. The job that it was rented for must still run, on
 * another machine.
 */
final class Case2 {
  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args, Site.PATIKA);
    rig.cloud.addKind("kucuk", 4, 16, 0.27, 0.07, 25, "ova", "yayla", "kiyi");
    rig.cloud.addKind("buyuk", 32, 128, 2.16, 0.57, 20, "ova", "yayla", "kiyi");
    rig.createControllers();
    // Two machines are up at the start; the job may not use their kind.
    rig.cloud.rent("kucuk", "ova", false, 0);
    rig.cloud.rent("kucuk", "yayla", false, 0);
    rig.cloud.bootS = 14;
    rig.controllers.forEach(Rig.Controller::start);
    if (!rig.awaitHealthy(3, 30)) {
      rig.finish(2, "the controllers did not become healthy");
    }
    boolean[] taken = {false};
    rig.cloud.listener =
        host -> {
          if (rig.trouble && host.kind.equals("buyuk") && !taken[0]) {
            taken[0] = true;
            Rig.after(4_000, () -> rig.cloud.remove(host.name, "taken back while it boots"));
          }
        };
    Rig.sleep(2_000);
    ObjectNode job = Rig.job("wk-000412", "harita-ekibi-00", "array", "urgent", 4, 8, 16);
    Rig.kinds(job, "buyuk");
    job.put("reclaimable", true);
    int status = rig.submit(job);
    if (status != 201 && status != 200) {
      rig.finish(2, "the job was not accepted: " + status);
    }
    String last = rig.awaitEnd(job, 112).status();
    if (rig.trouble && !taken[0]) {
      rig.finish(2, "no machine was rented for the job");
    }
    long started = rig.tasksStarted("wk-000412");
    if (started == 0) {
      rig.finish(1, "nothing_ran: the accepted job is " + last + " and none of its tasks started");
    }
    rig.finish(0, "the job is " + last + ", tasks started: " + started);
  }
}
