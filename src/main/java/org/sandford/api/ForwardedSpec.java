package org.sandford.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.runtime.Json;

/** Encodes and decodes the job in the body of a forwarded submission. */
final class ForwardedSpec {
  private static final String SPEC_FIELD = "s";

  private ForwardedSpec() {}

  static ByteBuffer encode(JobSpec spec) {
    ObjectNode body = Json.object();
    body.set(SPEC_FIELD, spec.toJson());
    return ByteBuffer.wrap(Json.bytes(body));
  }

  static JobSpec decode(ForwardedRequest request) {
    byte[] bytes = new byte[request.body.remaining()];
    request.body.duplicate().get(bytes);
    return JobSpec.fromJson(request.job, Json.read(bytes).path(SPEC_FIELD));
  }
}
