package review2;

import java.nio.file.Path;
import java.util.List;

/** Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Case {
  static final long LONGEST_MS = 117_000;

  /** Changes the settings of the deployment; called before anything starts. */
  void prepare(Rig rig) {}

  /**
   * Plays the case.
   *
   * @param trouble whether the disruption is played
   * @return what was broken; empty if the rule held
   */
  abstract List<String> play(Rig rig, Users users, boolean trouble) throws Exception;

  /** Returns the number of machines that are up at the start. */
  int machines() {
    return 6;
  }

  static void main(Case played, String[] args) {
    int status = 2;
    Rig rig = null;
    Web.daemon(
        () -> {
          Web.sleep(LONGEST_MS);
          System.out.println("the case took too long");
          System.exit(2);
        });
    try {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      rig = new Rig(Path.of(args[0]));
      played.prepare(rig);
      rig.record.write("disruption: " + (trouble ? "yes" : "no"));
      rig.start(played.machines());
      List<String> broken = played.play(rig, new Users(rig), trouble);
      broken.forEach(rig.record::say);
      rig.rules.broken().forEach((rule, count) -> System.out.println(rule + " " + count));
      status = broken.isEmpty() ? 0 : 1;
      rig.record.say(status == 0 ? "held" : "broken");
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      if (rig != null) {
        rig.stop();
      }
    }
    System.exit(status);
  }
}
