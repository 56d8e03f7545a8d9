package org.sandford.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Handles requests to a simulated host. */
interface FakeServer {
  record Response(int status, ObjectNode body) {}

  void handle(String from, String method, String path, byte[] body, Consumer<Response> respond);
}
