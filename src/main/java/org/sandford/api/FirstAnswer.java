package org.sandford.api;

import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.runtime.EventLoop;

/**
 * Delivers the first answer to a request and drops later ones. Answers with 503 if there is none by
 * the deadline.
 */
final class FirstAnswer implements Consumer<ApiResponse> {
  private final Consumer<ApiResponse> receiver;
  private final EventLoop.Timer deadline;
  private boolean answered;

  FirstAnswer(EventLoop loop, int deadlineMs, Consumer<ApiResponse> receiver) {
    this.receiver = receiver;
    this.deadline = loop.after(deadlineMs, this::answerDeadlineExceeded);
  }

  @Override
  public void accept(ApiResponse answer) {
    deadline.cancel();
    deliverOnce(answer);
  }

  private void answerDeadlineExceeded() {
    deliverOnce(
        ApiResponse.retryLater(
            HttpStatus.SERVICE_UNAVAILABLE,
            "no answer in time",
            ApiConstants.RETRY_AFTER_UNAVAILABLE_S));
  }

  private void deliverOnce(ApiResponse answer) {
    if (!answered) {
      answered = true;
      receiver.accept(answer);
    }
  }
}
