package org.fawnvale.daemon.state;

import java.util.List;
import org.fawnvale.core.model.Node;

/** The nodes that the platform lists in one data centre. */
public record NodeList(List<Node> nodes) {

  /** Copies the list. */
  public NodeList {
    nodes = List.copyOf(nodes);
  }
}
