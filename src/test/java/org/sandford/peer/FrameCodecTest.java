package org.sandford.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.Hello;

class FrameCodecTest {
  private final FrameCodec codec = new FrameCodec();

  @Test
  void decodedMessageEqualsTheEncodedOne() throws IOException {
    Hello hello = new Hello("c0", 3L, 9L, FrameCodec.PRODUCTION_SCHEMA_FINGERPRINT);
    assertEquals(hello, codec.decode(codec.encode(hello)));
    assertEquals(new ClaimTeam("red", 7L), codec.decode(codec.encode(new ClaimTeam("red", 7L))));
  }

  @Test
  void brokenFramesThrowOnlyIoExceptions() {
    byte[] validFrame = codec.encode(new ClaimTeam("red", 7L));
    assertThrows(
        IOException.class, () -> codec.decode(Arrays.copyOf(validFrame, validFrame.length - 1)));
    assertThrows(
        IOException.class, () -> codec.decode(Arrays.copyOf(validFrame, validFrame.length + 1)));
    Random random = new Random(1);
    for (int i = 0; i < 500; i++) {
      byte[] randomBytes = new byte[random.nextInt(40)];
      random.nextBytes(randomBytes);
      try {
        codec.decode(randomBytes);
      } catch (IOException expected) {
        // The only exception that a broken frame may cause.
      }
    }
  }
}
