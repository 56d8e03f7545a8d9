package org.sandford.api;

import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.sandford.audit.AuditLog;
import org.sandford.cancel.Cancellations;
import org.sandford.job.JobAnswers;
import org.sandford.job.TerminalState;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.runtime.EventLoop;

/**
 * Processes every answer to a user about a job. Enforces the deadline, replaces an answer that is
 * older than a terminal state known here, notifies the other controllers of a confirmed
 * cancellation before the user, and writes the audit log.
 *
 * <p>Records the response times of submissions; runs on the event loop.
 */
public final class UserAnswers {
  private static final int MAX_RECORDED_MS = 60_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final EventLoop loop;
  private final JobAnswers jobAnswers;
  private final Cancellations cancellations;
  private final AuditLog audit;
  private final Histogram submissionMillis = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

  /**
   * Creates an instance that looks up terminal states in {@code jobAnswers} and notifies the other
   * controllers through {@code cancellations}.
   */
  public UserAnswers(
      EventLoop loop, JobAnswers jobAnswers, Cancellations cancellations, AuditLog audit) {
    this.loop = loop;
    this.jobAnswers = jobAnswers;
    this.cancellations = cancellations;
    this.audit = audit;
  }

  /** Returns the response times of submissions to this controller, in milliseconds. */
  Histogram submissionMillis() {
    return submissionMillis;
  }

  /**
   * Returns the receiver of answers to a request that has just arrived.
   *
   * @param id the id of the job, or an empty string if the request has no valid one
   */
  Consumer<ApiResponse> guardedReceiver(
      UserRequestKind kind, String id, Consumer<ApiResponse> userReceiver) {
    Consumer<ApiResponse> receiver =
        kind == UserRequestKind.SUBMIT ? withTiming(userReceiver) : userReceiver;
    return new FirstAnswer(
        loop, kind.deadlineMs(), answer -> receiver.accept(finish(kind, id, answer)));
  }

  private Consumer<ApiResponse> withTiming(Consumer<ApiResponse> userReceiver) {
    long arrivedAt = loop.millis();
    return answer -> {
      submissionMillis.recordValue(
          Math.min(MAX_RECORDED_MS, Math.max(0, loop.millis() - arrivedAt)));
      userReceiver.accept(answer);
    };
  }

  private ApiResponse finish(UserRequestKind kind, String id, ApiResponse answer) {
    ApiResponse current =
        reportsOpenJob(answer) ? jobAnswers.terminalAnswer(id).orElse(answer) : answer;
    if (current.status() == HttpStatus.OK
        && current.jobStatus().equals(TerminalState.CANCELLED.wireName())) {
      cancellations.recordConfirmation(id);
    }
    audit.answered(
        kind.wireName(), id, current.status(), current.jobStatus(), current.provenance());
    return current;
  }

  /** Returns whether the answer reports an open job, which may be out of date by now. */
  private static boolean reportsOpenJob(ApiResponse answer) {
    return answer.status() == HttpStatus.CREATED
        || (answer.status() == HttpStatus.OK && !TerminalState.isTerminal(answer.jobStatus()));
  }
}
