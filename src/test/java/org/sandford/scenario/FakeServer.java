package org.sandford.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Something that takes requests in the simulated world. */
interface FakeServer {
  record Response(int status, ObjectNode body) {}

  void handle(String from, String method, String path, byte[] body, Consumer<Response> respond);
}
