package org.sandford.model;

/** HTTP status codes of responses to users and workers. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int CREATED = 201;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int UNPROCESSABLE_CONTENT = 422;
  public static final int TOO_MANY_REQUESTS = 429;
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
