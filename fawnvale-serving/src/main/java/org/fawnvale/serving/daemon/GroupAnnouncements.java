package org.fawnvale.serving.daemon;

import java.util.List;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Recent changes of groups that the leader announces and that the list of nodes may not show yet.
 *
 * @param opened groups that recently began to serve
 * @param closed heads, as {@code ID@EPOCH}, of groups that are being dissolved
 */
record GroupAnnouncements(List<PeerMessage.ServingGroup> opened, List<String> closed) {

  static final GroupAnnouncements NONE = new GroupAnnouncements(List.of(), List.of());

  // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof GroupAnnouncements that
        && opened.equals(that.opened)
        && closed.equals(that.closed);
  }

  @Override
  public int hashCode() {
    return 31 * opened.hashCode() + closed.hashCode();
  }
}
