package org.sandford.job;

import java.util.Locale;

/** Why a team's owner does not carry out a request to hand it over. */
enum HandoverRefusal {
  /** This controller does not own the team. */
  NOT_OWNED,
  /** This controller owns the team under another generation. */
  OTHER_GENERATION,
  /** The team's jobs are still being loaded. */
  LOADING;

  /** Returns the name in log lines. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
