package org.sandford.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sandford.constants.MachineConstants;

/**
 * The images that a machine's worker has in its cache, as far as they are known here: those of
 * tasks that ran there, the least recently used first. Runs on the event loop.
 */
final class KnownImages {
  private final Set<String> images = new LinkedHashSet<>();
  private int additions;

  /** Takes over what another owner, or another entry of the same machine, knew. */
  void addAll(Collection<String> others) {
    images.addAll(others);
  }

  /** Takes over what another entry of the same machine knew. */
  void addAll(KnownImages other) {
    images.addAll(other.images);
  }

  /** Takes in that a task with this image runs; does nothing while the image is not known. */
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

  /** Counts images that were added by use; it differs when a snapshot would. */
  int additions() {
    return additions;
  }

  List<String> list() {
    return new ArrayList<>(images);
  }
}
