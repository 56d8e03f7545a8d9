package org.sandford.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the counters, and the log fields of an answer's provenance. */
class AuditLogTest {
  @Test
  void countsEachKindOfDecision() {
    AuditLog audit = new AuditLog();
    audit.answered("poll", "wk-1", 200, "queued", new Provenance.OwnerMemory("c0#1", 7));
    audit.answered("poll", "wk-1", 200, "done", new Provenance.RememberedTerminalState());
    audit.answered("poll", "wk-2", 200, "done", new Provenance.RememberedTerminalState());
    audit.terminalStateLearned("wk-1", "done", AuditLog.LearnedBy.WATCH, 12);
    audit.teamAcquired("red", 7, "c0#1", 11);
    assertEquals("answers_end=2 answers_memory=1 ends_by_watch=1 teams_gained=1", audit.counters());
  }

  @Test
  void logFieldsAreKeyValuePairsWithoutSpaces() {
    assertEquals("session=c0#1 generation=7", new Provenance.OwnerMemory("c0#1", 7).logFields());
    assertEquals("revision=412", new Provenance.StoreRead(412).logFields());
    assertEquals("owner=c2", new Provenance.Forwarded("c2").logFields());
    assertEquals("", new Provenance.None().logFields());
  }
}
