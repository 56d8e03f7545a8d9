package org.sandford.audit;

/**
 * The provenance of an answer to a user: what entitles the controller to give it. Every answer
 * carries one, which the audit log shows.
 */
public sealed interface Provenance {
  /** The name of the kind in the log and in the counters. */
  String kind();

  /** Further {@code key=value} pairs for the log; empty where the kind says it all. */
  default String logFields() {
    return "";
  }

  /** Nothing about a job is claimed: a refusal, or no job at all. */
  record None() implements Provenance {
    @Override
    public String kind() {
      return "none";
    }
  }

  /** A stored terminal state that this controller remembers; it never changes. */
  record RememberedTerminalState() implements Provenance {
    @Override
    public String kind() {
      return "end";
    }
  }

  /**
   * What the team's owner has in memory.
   *
   * @param session the incarnation id under whose session lease the team is owned
   * @param generation the team's generation in the assignment map
   */
  record OwnerMemory(String session, long generation) implements Provenance {
    @Override
    public String kind() {
      return "memory";
    }

    @Override
    public String logFields() {
      return "session=" + session + " generation=" + generation;
    }
  }

  /** A read of the store that began after the request came; {@code revision} is the record's. */
  record StoreRead(long revision) implements Provenance {
    @Override
    public String kind() {
      return "read";
    }

    @Override
    public String logFields() {
      return "revision=" + revision;
    }
  }

  /** A transaction that the store has confirmed under {@code revision}. */
  record StoreWrite(long revision) implements Provenance {
    @Override
    public String kind() {
      return "write";
    }

    @Override
    public String logFields() {
      return "revision=" + revision;
    }
  }

  /** The answer of the team's owner, to which the request was forwarded. */
  record Forwarded(String owner) implements Provenance {
    @Override
    public String kind() {
      return "forwarded";
    }

    @Override
    public String logFields() {
      return "owner=" + owner;
    }
  }
}
