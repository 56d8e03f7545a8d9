package org.sandford.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sandford.constants.MachineConstants;

/**
 * Tracks the images that a machine's worker is known to cache: those of tasks that ran there, least
 * recently used first. Runs on the event loop.
 */
final class KnownImages {
  private final Set<String> images = new LinkedHashSet<>();
  private int additions;

  /** Adds the images known to a former owner. */
  void addAll(Collection<String> others) {
    images.addAll(others);
  }

  /** Adds the images known under an earlier assignment of the same machine. */
  void addAll(KnownImages other) {
    images.addAll(other.images);
  }

  /**
   * Records that a task with this image runs; does nothing if the image is empty, which means
   * unknown.
   */
  void recordUse(String image) {
    if (image.isEmpty()) {
      return;
    }
    boolean known = images.remove(image);
    images.add(image);
    additions += known ? 0 : 1;
    if (images.size() > MachineConstants.MAX_KNOWN_IMAGES) {
      images.remove(images.iterator().next());
    }
  }

  /**
   * Returns how many images were added by use. An unchanged count means that the list in a snapshot
   * has the same images.
   */
  int additions() {
    return additions;
  }

  List<String> list() {
    return new ArrayList<>(images);
  }
}
