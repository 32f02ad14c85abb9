package org.fawnvale.serving.http;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.model.NodeAnswer;

/** Told of a node's answer to one request; called while holding the guard. */
public interface NodeListener {

  /**
   * The head of the answer has come.
   *
   * @param answer the head
   * @param said what the node says with it
   */
  void head(HttpResponse answer, NodeAnswer said);

  /**
   * A part of the body has come.
   *
   * @param data the part; read it before returning
   */
  void data(ByteBuffer data);

  /** The answer is whole. */
  void end();

  /**
   * The request failed; nothing else follows.
   *
   * @param failure how; {@link ClientListener.Failure#HELD} when the node has asked for rest
   *     meanwhile
   * @param cause why
   */
  void failed(ClientListener.Failure failure, Exception cause);
}
