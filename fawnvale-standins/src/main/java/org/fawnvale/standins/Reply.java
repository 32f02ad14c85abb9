package org.fawnvale.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in's HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers besides Content-Type
 * @param body the body; null when {@code stream} is set
 * @param stream writes the body; null when {@code body} is set
 * @param endsWithConnection whether the body has neither a length nor chunks
 * @param delivery whether it comes once, once more, cut, or spoilt
 */
record Reply(
    int status,
    Map<String, String> headers,
    String contentType,
    byte @Nullable [] body,
    @Nullable Stream stream,
    boolean endsWithConnection,
    Delivery delivery) {

  /** Writes a streamed body. */
  @FunctionalInterface
  interface Stream {
    void writeTo(OutputStream out) throws IOException;
  }

  static Reply json(int status, Object value) {
    return new Reply(
        status, Map.of(), "application/json", Json.bytes(value), null, false, Delivery.ONCE);
  }

  static Reply empty(int status) {
    return json(status, Map.of());
  }

  static Reply events(Stream stream) {
    return new Reply(200, Map.of(), "text/event-stream", null, stream, false, Delivery.ONCE);
  }

  Reply and(String name, String value) {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.put(name, value);
    return with(all);
  }

  Reply with(Map<String, String> newHeaders) {
    return new Reply(status, newHeaders, contentType, body, stream, endsWithConnection, delivery);
  }

  /** Returns the same response, with a streamed body that is written in another way. */
  Reply through(UnaryOperator<Stream> change) {
    return stream == null
        ? this
        : new Reply(
            status, headers, contentType, body, change.apply(stream), endsWithConnection, delivery);
  }

  /** Returns the same response without a length or chunks: the connection ends with its body. */
  Reply endingWithConnection() {
    return new Reply(status, headers, contentType, body, stream, true, delivery);
  }

  /** Returns the same response, delivered in another way. */
  Reply delivered(Delivery newDelivery) {
    return new Reply(status, headers, contentType, body, stream, endsWithConnection, newDelivery);
  }

  /** Returns the same response with another status. */
  Reply withStatus(int newStatus) {
    return new Reply(newStatus, headers, contentType, body, stream, endsWithConnection, delivery);
  }

  /** Returns whether nothing in the response may be believed. */
  boolean isDamaged() {
    return delivery == Delivery.CUT || delivery == Delivery.SPOILT;
  }

  boolean isCut() {
    return delivery == Delivery.CUT;
  }
}
