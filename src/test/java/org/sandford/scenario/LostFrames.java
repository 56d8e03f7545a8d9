package org.sandford.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.sandford.peer.FrameCodec;

/**
 * Loses messages between controllers: the link breaks in place of carrying the message, as a
 * message of a connection is lost only with the connection.
 */
final class LostFrames {
  private final Simulation simulation;
  private final FrameCodec codec = new FrameCodec();
  private int count;

  LostFrames(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Returns how many messages were lost. */
  int count() {
    return count;
  }

  /** Loses the next message of a type, by the name of its class; {@code none} loses no more. */
  void loseNext(ScenarioScript.Step step) {
    String type = step.word(1);
    simulation.breaksConnection =
        frame -> {
          if (!typeOf(frame).equals(type)) {
            return false;
          }
          count++;
          simulation.breaksConnection = other -> false;
          return true;
        };
  }

  private String typeOf(byte[] frame) {
    try {
      return codec.decode(frame).getClass().getSimpleName();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
