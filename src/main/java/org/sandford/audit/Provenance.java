package org.sandford.audit;

/**
 * The provenance of an answer to a user: what entitles the controller to give it. Every answer
 * carries one, which the audit log shows.
 */
public sealed interface Provenance {
  /** Returns the name of this provenance in the log and in the counters. */
  String kind();

  /** Returns further {@code key=value} pairs for the log; empty if there are none. */
  default String logFields() {
    return "";
  }

  /** No statement about a job: a refusal, or an answer that concerns no job. */
  record None() implements Provenance {
    @Override
    public String kind() {
      return "none";
    }
  }

  /** A stored terminal state that this controller has cached; it never changes. */
  record RememberedTerminalState() implements Provenance {
    @Override
    public String kind() {
      return "end";
    }
  }

  /**
   * The state in the memory of the team's owner.
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

  /** A read of the store that began after the request arrived, with the record's revision. */
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

  /** A transaction that the store has confirmed at this revision. */
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
