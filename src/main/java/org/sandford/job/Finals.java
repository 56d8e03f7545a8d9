package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.sandford.Constants;

/** Final answers, which never change and may be kept by anybody. A miss here means nothing. */
public final class Finals {
  private final Cache<String, String> known =
      Caffeine.newBuilder().maximumSize(Constants.FINALS_CACHED).executor(Runnable::run).build();

  /** Takes a stored final record. */
  public void put(String job, JsonNode record) {
    known.put(job, record.path("s").asText());
  }

  /** {@code done}, {@code aborted}, or null when it is not known here. */
  public String get(String job) {
    return known.getIfPresent(job);
  }

  public boolean contains(String job) {
    return get(job) != null;
  }
}
