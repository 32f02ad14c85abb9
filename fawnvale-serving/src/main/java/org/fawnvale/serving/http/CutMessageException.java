package org.fawnvale.serving.http;

import org.apache.hc.core5.http.ConnectionClosedException;

/** A connection has ended inside a part of a message that has an end mark of its own. */
final class CutMessageException extends ConnectionClosedException {

  private static final long serialVersionUID = 1L;

  /** A part of a message that ends with a line. */
  enum Part {
    /** The status or request line and the headers, up to an empty line. */
    HEAD,
    /** The line with the size of a chunk, or a line of the trailer behind the last chunk. */
    CHUNK_LINE
  }

  private final Part part;

  /**
   * Creates an exception.
   *
   * @param part the part that is cut
   */
  CutMessageException(Part part) {
    super("The connection ended inside a message, part " + part + "; what it holds is ignored.");
    this.part = part;
  }

  /** Returns the part that is cut. */
  Part part() {
    return part;
  }
}
