package review2;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How the tasks of gangs find each other by their attempt number. */
final class Gangs {
  private static final class Attempt {
    final Set<Integer> gathered = new HashSet<>();
    boolean started;
    boolean completed;
    long lostAt;
  }

  private final Map<String, Attempt> attempts = new HashMap<>();

  private Attempt attempt(Job job, long number) {
    return attempts.computeIfAbsent(job.id + "@" + number, k -> new Attempt());
  }

  synchronized void joined(Job job, long number, int task) {
    Attempt attempt = attempt(job, number);
    attempt.gathered.add(task);
    attempt.started |= attempt.gathered.size() == job.pieces;
  }

  synchronized boolean isComplete(Job job, long number) {
    return attempt(job, number).started;
  }

  synchronized void left(Job job, long number, int task, String why) {
    Attempt attempt = attempt(job, number);
    if (why.equals("done")) {
      attempt.completed = true;
      for (int i = 0; i < job.pieces; i++) {
        job.done.add(i);
      }
    } else if (attempt.gathered.remove(task) && attempt.started && attempt.lostAt == 0) {
      attempt.lostAt = Recorder.now();
    }
  }

  /** Returns for how long a task of the running attempt has been gone, in milliseconds. */
  synchronized long lostFor(Job job, long number) {
    Attempt attempt = attempt(job, number);
    return attempt.lostAt == 0 || attempt.completed ? 0 : Recorder.now() - attempt.lostAt;
  }
}
