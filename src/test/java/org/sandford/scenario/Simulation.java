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

/** Simulates time and network with one queue of events; every run with a seed is the same. */
final class Simulation {
  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Whether a cut holds messages back until it is healed, or loses them. */
  enum CutMode {
    HOLD,
    LOSE
  }

  static final long MS = 1_000_000L;

  /** Whether copies of workers' heartbeats arrive late, by 1 s to three lease periods. */
  boolean lateHeartbeats;

  /** Whether some requests are followed by a late copy, which can arrive out of order. */
  boolean duplicateRequests;

  /** The maximum delay of such a copy, in milliseconds. */
  int maxDuplicateDelayMs = 2_000;

  final Random random;
  final List<String> violations = new ArrayList<>();
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Map<String, CutMode> cuts = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<Runnable>> heldMessages = new LinkedHashMap<>();
  private final Map<String, Long> lastArrival = new HashMap<>();

  /** Hosts that reach each other but no host outside the set; empty when none are isolated. */
  private final Set<String> isolatedHosts = new HashSet<>();

  /** The delay added to every message, in milliseconds. */
  int messageDelayMs;

  /** Receives all orders that controllers send directly to a worker, when they are sent. */
  java.util.function.Consumer<com.fasterxml.jackson.databind.JsonNode> ordersSentListener =
      orders -> {};

  /** Returns whether the connection breaks in place of carrying this frame between controllers. */
  java.util.function.Predicate<byte[]> breaksConnection = frame -> false;

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

  void cut(String a, String b, CutMode mode) {
    cutOneWay(a, b, mode);
    cutOneWay(b, a, mode);
  }

  /** Cuts one direction: only messages from the first host to the second are affected. */
  void cutOneWay(String from, String to, CutMode mode) {
    cuts.put(link(from, to), mode);
  }

  boolean hasCuts() {
    return !cuts.isEmpty() || !isolatedHosts.isEmpty();
  }

  /**
   * Isolates these hosts from all others and holds messages back; an empty set ends the isolation.
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

  /** Returns the cut between two hosts, or null; {@code *} stands for every host. */
  CutMode cutBetween(String from, String to) {
    if (isolatedHosts.contains(from) != isolatedHosts.contains(to)) {
      return CutMode.HOLD;
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

  /** Delivers a message unless a cut affects it; those between the same two hosts stay in order. */
  void deliver(String from, String to, Runnable arrive) {
    CutMode cut = cutBetween(from, to);
    if (cut == CutMode.LOSE) {
      return;
    }
    if (cut == CutMode.HOLD) {
      heldMessages.computeIfAbsent(link(from, to), p -> new ArrayDeque<>()).addLast(arrive);
      return;
    }
    long arrival = now + MS / 2 + random.nextInt((int) MS) + messageDelayMs * MS;
    arrival = Math.max(arrival, lastArrival.getOrDefault(link(from, to), 0L));
    lastArrival.put(link(from, to), arrival);
    at(arrival, arrive);
  }

  /** The event loop of one process; its queued events are discarded when the process dies. */
  final class ProcessLoop implements EventLoop {
    private final double drift;
    boolean alive = true;

    /** The time until which the process is frozen while its clocks run on. */
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

    /** Runs the action now, or in order of arrival once the process is no longer frozen. */
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
    public boolean isCurrentThread() {
      return true;
    }

    @Override
    public void execute(Runnable action) {
      Simulation.this.at(now, () -> whenAwake(action));
    }
  }
}
