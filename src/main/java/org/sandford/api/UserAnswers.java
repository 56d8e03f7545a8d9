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
 * The way of every answer to a user about a job: it comes within the deadline, is no older than
 * what is known here when it leaves, is recorded in the audit log, and the other controllers hear
 * of a cancellation before the user does.
 *
 * <p>Owns the response times of submissions; runs on the event loop.
 */
public final class UserAnswers {
  private static final int MAX_RECORDED_MS = 60_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final EventLoop loop;
  private final JobAnswers jobAnswers;
  private final Cancellations cancellations;
  private final AuditLog audit;
  private final Histogram submissionMillis = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

  /** Newer ends come from {@code jobAnswers}; {@code cancellations} tells the other controllers. */
  public UserAnswers(
      EventLoop loop, JobAnswers jobAnswers, Cancellations cancellations, AuditLog audit) {
    this.loop = loop;
    this.jobAnswers = jobAnswers;
    this.cancellations = cancellations;
    this.audit = audit;
  }

  /** Times from a submission's arrival here to its answer, in milliseconds. */
  Histogram submissionMillis() {
    return submissionMillis;
  }

  /**
   * The receiver of answers to a request that has just arrived.
   *
   * @param id the job asked about, or an empty text when the request names none
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
    ApiResponse current = reportsOpenJob(answer) ? jobAnswers.ended(id).orElse(answer) : answer;
    if (current.status() == HttpStatus.OK
        && current.state().equals(TerminalState.CANCELLED.wireName())) {
      cancellations.confirmed(id);
    }
    audit.answered(kind.wireName(), id, current.status(), current.state(), current.basis());
    return current;
  }

  /** Whether the answer says that the job has not ended, which may be out of date by now. */
  private static boolean reportsOpenJob(ApiResponse answer) {
    return answer.status() == HttpStatus.CREATED
        || (answer.status() == HttpStatus.OK && !TerminalState.isTerminal(answer.state()));
  }
}
