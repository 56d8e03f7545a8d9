package org.sandford.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.sandford.peer.wire.Frame;

/**
 * Frames as Avro's binary encoding. Both ends must have the same schema, which the greeting checks.
 */
public final class FrameCodec {
  /** The schema's fingerprint. */
  public static final long SCHEMA =
      SchemaNormalization.parsingFingerprint64(Frame.getClassSchema());

  private final SpecificDatumWriter<Frame> writer = new SpecificDatumWriter<>(Frame.class);
  private final SpecificDatumReader<Frame> reader = new SpecificDatumReader<>(Frame.class);
  private BinaryEncoder encoder;
  private BinaryDecoder decoder;

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

  /** The message of a frame; throws IOException when the bytes hold none. */
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
