package org.sandford.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.sandford.runtime.EventLoop;

/** Simulated time and network: one queue of events, run in order, the same on every run. */
final class Simulation {
  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** A cut holds messages back and delivers them when it heals, or loses them. */
  enum Cut {
    HOLD,
    LOSE
  }

  static final long MS = 1_000_000L;

  /** Whether copies of workers' reports come late: from seconds to well over a lease. */
  boolean lateReports;

  /** Whether late copies of requests follow now and then, which also puts them out of order. */
  boolean duplicates;

  /** Milliseconds by which such a copy is late at the most. */
  int duplicatesLateMs = 2_000;

  final Random random;
  final List<String> violations = new ArrayList<>();
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Map<String, Cut> cuts = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<Runnable>> heldMessages = new LinkedHashMap<>();
  private final Map<String, Long> lastArrival = new HashMap<>();

  /**
   * Hosts of a zone that is cut off from all outside it, and goes on inside; empty when none is.
   */
  private final Set<String> isolatedHosts = new HashSet<>();

  /** Milliseconds that every message takes longer. */
  int messageDelayMs;

  /** Hears of all orders that go straight to a worker, when they leave. */
  java.util.function.Consumer<com.fasterxml.jackson.databind.JsonNode> ordersSent = orders -> {};

  private final Set<String> deadHosts = new HashSet<>();
  private long now = 1_000 * MS;
  private long nextOrder;

  Simulation(long seed) {
    random = new Random(seed);
  }

  long now() {
    return now;
  }

  double seconds() {
    return (now - 1_000 * MS) / 1e9;
  }

  void at(long when, Runnable action) {
    queue.add(new Event(Math.max(when, now), nextOrder++, action));
  }

  void after(long millis, Runnable action) {
    at(now + millis * MS, action);
  }

  void runUntil(double seconds) {
    long end = 1_000 * MS + (long) (seconds * 1e9);
    while (!queue.isEmpty() && queue.peek().at <= end) {
      Event event = queue.poll();
      now = event.at;
      event.action.run();
    }
    now = Math.max(now, end);
  }

  void recordViolation(String rule, String detail) {
    violations.add(String.format("%.3f s %s: %s", seconds(), rule, detail));
  }

  private static String link(String from, String to) {
    return from + ">" + to;
  }

  void cut(String a, String b, Cut kind) {
    cutOneWay(a, b, kind);
    cutOneWay(b, a, kind);
  }

  /** Only what goes from the one to the other is held back or lost. */
  void cutOneWay(String from, String to, Cut kind) {
    cuts.put(link(from, to), kind);
  }

  boolean hasCuts() {
    return !cuts.isEmpty() || !isolatedHosts.isEmpty();
  }

  /**
   * Cuts these hosts off from all others, which holds back what is said; an empty set ends that.
   */
  void isolate(Set<String> hosts) {
    isolatedHosts.clear();
    isolatedHosts.addAll(hosts);
    deliverHeldMessages();
  }

  void heal(String a, String b) {
    cuts.remove(link(a, b));
    cuts.remove(link(b, a));
    deliverHeldMessages();
  }

  private void deliverHeldMessages() {
    for (Iterator<Map.Entry<String, ArrayDeque<Runnable>>> it = heldMessages.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<String, ArrayDeque<Runnable>> link = it.next();
      String[] ends = link.getKey().split(">", -1);
      if (cutBetween(ends[0], ends[1]) == null) {
        link.getValue().forEach(message -> after(1, message));
        it.remove();
      }
    }
  }

  /** The cut between two hosts, or null; {@code *} stands for every host. */
  Cut cutBetween(String from, String to) {
    if (isolatedHosts.contains(from) != isolatedHosts.contains(to)) {
      return Cut.HOLD;
    }
    for (String link : new String[] {link(from, to), link(from, "*"), link("*", to)}) {
      if (cuts.containsKey(link)) {
        return cuts.get(link);
      }
    }
    return null;
  }

  void setDead(String host, boolean down) {
    if (down) {
      deadHosts.add(host);
    } else {
      deadHosts.remove(host);
    }
  }

  boolean isDead(String host) {
    return deadHosts.contains(host);
  }

  /** Carries a message; messages between the same two hosts stay in order. */
  void carry(String from, String to, Runnable arrive) {
    Cut cut = cutBetween(from, to);
    if (cut == Cut.LOSE) {
      return;
    }
    if (cut == Cut.HOLD) {
      heldMessages.computeIfAbsent(link(from, to), p -> new ArrayDeque<>()).addLast(arrive);
      return;
    }
    long arrival = now + MS / 2 + random.nextInt((int) MS) + messageDelayMs * MS;
    arrival = Math.max(arrival, lastArrival.getOrDefault(link(from, to), 0L));
    lastArrival.put(link(from, to), arrival);
    at(arrival, arrive);
  }

  /** The loop of one life of one process; what it queued dies with it. */
  final class ProcessLoop implements EventLoop {
    private final double drift;
    boolean alive = true;

    /** Until then the process stands still while its clocks run on. */
    private long frozenUntil;

    ProcessLoop(double drift) {
      this.drift = drift;
    }

    @Override
    public long nanos() {
      return (long) (now * (1 + drift));
    }

    void freeze(double seconds) {
      frozenUntil = now + (long) (seconds * 1e9);
    }

    boolean frozen() {
      return now < frozenUntil;
    }

    /** Runs it now, or, in the order in which it came, once the process goes on. */
    void whenAwake(Runnable action) {
      if (now < frozenUntil) {
        Simulation.this.at(frozenUntil, () -> whenAwake(action));
      } else if (alive) {
        action.run();
      }
    }

    @Override
    public long wallMillis() {
      return 1_700_000_000_000L + now / MS;
    }

    @Override
    public Timer after(long millis, Runnable action) {
      boolean[] cancelled = {false};
      Simulation.this.after(
          millis,
          () -> {
            whenAwake(
                () -> {
                  if (!cancelled[0]) {
                    action.run();
                  }
                });
          });
      return () -> cancelled[0] = true;
    }

    @Override
    public void execute(Runnable action) {
      Simulation.this.at(now, () -> whenAwake(action));
    }
  }
}
