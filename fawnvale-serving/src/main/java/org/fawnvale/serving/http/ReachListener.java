package org.fawnvale.serving.http;

import org.fawnvale.serving.core.model.Node;

/** Receives what the requests to nodes show about this daemon's path to them. */
public interface ReachListener {

  /** Ignores everything. */
  ReachListener NONE =
      new ReachListener() {
        @Override
        public void heard(Node node) {
          // Nobody asks.
        }

        @Override
        public void failed(Node node, ResponseListener.Failure failure) {
          // Nobody asks.
        }
      };

  /**
   * Called when a part of a response has arrived.
   *
   * @param node the node that sent it
   */
  void heard(Node node);

  /**
   * Called when a node could not be reached, or when its connection broke or did not answer.
   *
   * @param node the node
   * @param failure what happened
   */
  void failed(Node node, ResponseListener.Failure failure);
}
