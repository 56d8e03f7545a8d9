package org.sandford.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.sandford.peer.wire.Frame;

/**
 * Encodes and decodes frames in Avro's binary encoding. Both ends must use the same schema; the
 * handshake compares its fingerprint. Not thread-safe: an instance belongs to one event loop.
 */
public final class FrameCodec {
  /**
   * Fingerprint of the production schema, which uses other names than this program. Encoded frames
   * carry no names, so the two versions understand each other; {@code ProductionWireTest} checks
   * that both schemas describe the same bytes.
   */
  public static final long PRODUCTION_SCHEMA_FINGERPRINT = 0xd0f6fd519bbc5261L;

  private final SpecificDatumWriter<Frame> writer = new SpecificDatumWriter<>(Frame.class);
  private final SpecificDatumReader<Frame> reader = new SpecificDatumReader<>(Frame.class);
  private BinaryEncoder encoder;
  private BinaryDecoder decoder;

  /** Encodes one message, which must be of a type in the schema of {@code Frame}. */
  public byte[] encode(Object message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    encoder = EncoderFactory.get().binaryEncoder(out, encoder);
    try {
      writer.write(new Frame(message), encoder);
      encoder.flush();
    } catch (IOException e) {
      throw new IllegalStateException("a frame could not be encoded", e);
    }
    return out.toByteArray();
  }

  /**
   * Decodes the message of a frame.
   *
   * @throws IOException if the bytes are not exactly one message
   */
  public Object decode(byte[] bytes) throws IOException {
    decoder = DecoderFactory.get().binaryDecoder(bytes, decoder);
    try {
      Object message = reader.read(null, decoder).body;
      if (!decoder.isEnd()) {
        throw new IOException("a frame with more than one message");
      }
      return message;
    } catch (RuntimeException e) {
      throw new IOException("not a frame: " + e, e);
    }
  }
}
