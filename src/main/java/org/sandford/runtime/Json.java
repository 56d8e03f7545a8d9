package org.sandford.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON trees with one shared mapper. Thread-safe. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Creates an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Creates an empty array. */
  public static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  /** Parses a document; returns a missing node if the bytes are not exactly one. */
  public static JsonNode read(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node == null ? MissingNode.getInstance() : node;
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  /** Parses a document; returns a missing node if the text is not exactly one. */
  public static JsonNode read(String text) {
    return read(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Encodes the document in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree could not be written", e);
    }
  }

  /** Formats the document without whitespace. */
  public static String text(JsonNode node) {
    return node.toString();
  }
}
