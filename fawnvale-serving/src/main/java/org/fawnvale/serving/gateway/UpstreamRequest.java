package org.fawnvale.serving.gateway;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.http.core.HeadText;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.http.AnswerMatch;
import org.fawnvale.serving.spi.HeaderNames;
import org.jspecify.annotations.Nullable;

/** Builds the request that an upstream receives, and recognizes its response. */
final class UpstreamRequest {

  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private UpstreamRequest() {}

  /**
   * Creates the request for one attempt.
   *
   * @param lastEvent id of the last event that the caller has received; null if it has none
   */
  static BasicHttpRequest create(
      Gateway gateway, CallerRequest request, Node node, @Nullable String lastEvent) {
    HeaderNames names = gateway.headers();
    BasicHttpRequest outgoing =
        new BasicHttpRequest(
            request.head().getMethod(), null, null, request.head().getRequestUri());
    for (Header header : Headers.endToEnd(request.head())) {
      if (!gateway.isSetByGateway(header.getName().toLowerCase(Locale.ROOT))) {
        outgoing.addHeader(header);
      }
    }
    long remainingMillis =
        Math.max(1, (request.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI);
    outgoing.addHeader(names.deadline(), String.valueOf(remainingMillis));
    outgoing.addHeader(names.expectedNode(), HeadText.utf8(node.id()));
    Workspace workspace = request.workspace();
    if (workspace != null) {
      outgoing.addHeader(names.workspace(), HeadText.utf8(workspace.name()));
    }
    if (lastEvent != null) {
      outgoing.setHeader(names.lastEvent(), lastEvent);
    }
    outgoing.addHeader(names.priority(), String.valueOf(RequestReader.rank(request)));
    return outgoing;
  }

  /** Returns whether a response is the event stream that a request asks for. */
  static boolean isEventStream(Gateway gateway, CallerRequest request, HttpResponse response) {
    boolean success = response.getCode() >= SUCCESS && response.getCode() < REDIRECT;
    return request.route().kind() == RouteKind.STREAMING
        && success
        && Headers.mayBeEventStream(response)
        && isSigned(gateway, response);
  }

  /**
   * Tells by the id in a response whether it belongs to a request. One without an id may be a
   * spoilt response to the request or one to something else; it is not worth waiting for another
   * one if the request may be repeated.
   */
  static AnswerMatch match(Gateway gateway, CallerRequest request, HttpResponse response) {
    String id = Headers.value(response, gateway.headers().requestId());
    if (request.id().equals(id)) {
      return AnswerMatch.OWN;
    }
    boolean unnamed = id == null || id.isBlank();
    return unnamed && request.route().repeatable() ? AnswerMatch.UNKNOWN : AnswerMatch.OTHER;
  }

  /** Returns whether a response is a failure, or a success that its caller gets signed. */
  static boolean isSigned(Gateway gateway, HttpResponse response) {
    return response.getCode() >= REDIRECT
        || Headers.isEndToEnd(response, gateway.headers().signature());
  }
}
