package org.sandford.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.job.JobAnswers;
import org.sandford.job.JobReader;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;

/**
 * Handles {@code GET /work/{id}}. Answers from memory if that is guaranteed to be current, else
 * from the owner of the job's team if that is known and another controller, else from the store.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class PollHandler {
  private final Cluster cluster;
  private final JobAnswers jobAnswers;
  private final JobReader jobReader;
  private final OwnerForwarding forwarding;

  /** Creates a handler that reaches other owners through {@code forwarding}. */
  public PollHandler(
      Cluster cluster, JobAnswers jobAnswers, JobReader jobReader, OwnerForwarding forwarding) {
    this.cluster = cluster;
    this.jobAnswers = jobAnswers;
    this.jobReader = jobReader;
    this.forwarding = forwarding;
  }

  /** Answers a poll; {@code id} must be well formed. */
  void handle(String id, Consumer<ApiResponse> answer) {
    Optional<ApiResponse> answerFromMemory = jobAnswers.fromMemory(id);
    if (answerFromMemory.isPresent()) {
      answer.accept(answerFromMemory.get());
      return;
    }
    String team = jobReader.teamOf(id);
    if (team == null || !isOwnedElsewhere(team)) {
      jobAnswers.fromStore(id, answer);
      return;
    }
    forwarding.poll(
        id,
        team,
        ownerAnswer -> {
          if (ownerAnswer.status() == HttpStatus.OK) {
            answer.accept(ownerAnswer);
          } else {
            jobAnswers.fromStore(id, answer);
          }
        },
        () -> jobAnswers.fromStore(id, answer));
  }

  private boolean isOwnedElsewhere(String team) {
    TeamAssignment assignment = cluster.teams().assignments().get(team);
    return assignment != null && !assignment.owner().equals(cluster.incarnationId());
  }
}
