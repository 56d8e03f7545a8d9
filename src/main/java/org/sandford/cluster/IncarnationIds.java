package org.sandford.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.runtime.Json;

/**
 * Incarnation ids, {@code label#number}, and the stored form of the keys that hold one. A
 * controller has a new incarnation with each start, and each time that it joins anew.
 */
final class IncarnationIds {
  private static final char SEPARATOR = '#';
  private static final String ID_FIELD = "id";

  private IncarnationIds() {}

  static String of(String label, long number) {
    return label + SEPARATOR + number;
  }

  /** The value of a key that holds an incarnation id. */
  static ObjectNode toJson(String incarnationId) {
    return Json.object().put(ID_FIELD, incarnationId);
  }

  /** The incarnation id in the value of a key that holds one. */
  static String read(JsonNode value) {
    return value.path(ID_FIELD).asText();
  }

  static String labelOf(String incarnationId) {
    int separatorIndex = incarnationId.lastIndexOf(SEPARATOR);
    return separatorIndex < 0 ? incarnationId : incarnationId.substring(0, separatorIndex);
  }

  /** Whether the id is of an incarnation of the controller with this label; makes no text. */
  static boolean isIncarnationOf(String incarnationId, String label) {
    int labelLength = label.length();
    return incarnationId.length() > labelLength
        && incarnationId.charAt(labelLength) == SEPARATOR
        && incarnationId.startsWith(label);
  }

  /** A request id that no other incarnation uses, without the character that URLs reserve. */
  static String requestId(String incarnationId, long number) {
    return incarnationId.replace(SEPARATOR, '.') + "." + number;
  }
}
