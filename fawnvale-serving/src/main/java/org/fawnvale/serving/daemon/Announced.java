package org.fawnvale.serving.daemon;

import java.util.List;
import org.fawnvale.serving.core.peer.PeerMessage;

/**
 * The leader's word on groups that the list may not show yet.
 *
 * @param opened groups that began to serve
 * @param closed heads, as {@code ID@EPOCH}, whose groups are being taken apart
 */
record Announced(List<PeerMessage.ServingGroup> opened, List<String> closed) {

  static final Announced NOTHING = new Announced(List.of(), List.of());
}
