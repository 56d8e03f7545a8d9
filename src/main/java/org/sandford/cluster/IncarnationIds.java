package org.sandford.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.runtime.Json;

/**
 * Formats and parses incarnation ids, {@code label#number}, and the values of keys that hold one. A
 * controller gets a new incarnation with each start and each time that it joins again.
 */
final class IncarnationIds {
  private static final char SEPARATOR = '#';
  private static final String ID_FIELD = "id";

  private IncarnationIds() {}

  static String of(String label, long number) {
    return label + SEPARATOR + number;
  }

  /** Returns the value of a key that holds the incarnation id. */
  static ObjectNode toJson(String incarnationId) {
    return Json.object().put(ID_FIELD, incarnationId);
  }

  /** Returns the incarnation id in the value of a key that holds one. */
  static String read(JsonNode value) {
    return value.path(ID_FIELD).asText();
  }

  static String labelOf(String incarnationId) {
    int separatorIndex = incarnationId.lastIndexOf(SEPARATOR);
    return separatorIndex < 0 ? incarnationId : incarnationId.substring(0, separatorIndex);
  }

  /**
   * Returns whether the id is of an incarnation of the controller with this label; allocates
   * nothing.
   */
  static boolean isIncarnationOf(String incarnationId, String label) {
    int labelLength = label.length();
    return incarnationId.length() > labelLength
        && incarnationId.charAt(labelLength) == SEPARATOR
        && incarnationId.startsWith(label);
  }

  /**
   * Returns a request id that no other incarnation uses, without the separator, which URLs reserve.
   */
  static String requestId(String incarnationId, long number) {
    return incarnationId.replace(SEPARATOR, '.') + "." + number;
  }
}
