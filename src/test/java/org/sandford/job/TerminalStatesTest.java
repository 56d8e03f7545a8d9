package org.sandford.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.CancellationConstants;
import org.sandford.runtime.Json;
import org.sandford.runtime.ManualEventLoop;

class TerminalStatesTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final TerminalStates states = new TerminalStates(loop);

  private void fillCacheTwice() {
    for (int job = 0; job < 2 * ApiConstants.TERMINAL_STATE_CACHE_SIZE; job++) {
      states.put("wk-" + job, TerminalState.DONE);
    }
  }

  @Test
  void stateIsReadFromTheProductionRecord() {
    states.put("wk-1", Json.read("{\"s\":\"aborted\",\"t\":\"red\",\"n\":16}"));
    states.put("wk-2", Json.read("{\"s\":\"done\",\"t\":\"red\",\"n\":16}"));
    assertEquals(Optional.of(TerminalState.CANCELLED), states.get("wk-1"));
    assertEquals(Optional.of(TerminalState.DONE), states.get("wk-2"));
    assertEquals(Optional.empty(), states.get("wk-3"));
    assertFalse(states.contains("wk-3"));
  }

  @Test
  void recentStateIsKeptWhenTheCacheEvicts() {
    states.put("wk-recent", TerminalState.CANCELLED);
    loop.advanceSeconds(CancellationConstants.TERMINAL_STATE_RETENTION_S / 2.0);
    fillCacheTwice();
    assertTrue(states.contains("wk-recent"));
    assertEquals(Optional.of(TerminalState.CANCELLED), states.get("wk-recent"));
  }
}
