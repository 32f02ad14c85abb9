package org.fawnvale.serving.daemon;

import java.util.List;
import org.fawnvale.serving.core.peer.PeerMessage;

/**
 * The leader's word on groups that the list may not show yet.
 *
 * @param opened groups that began to serve
 * @param closed heads, as {@code ID@EPOCH}, whose groups are being taken apart
 */
record GroupAnnouncements(List<PeerMessage.ServingGroup> opened, List<String> closed) {

  static final GroupAnnouncements NOTHING = new GroupAnnouncements(List.of(), List.of());
}
