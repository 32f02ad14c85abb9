package org.fawnvale.upstream;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to upstreams over HTTP/1.1, without pipelining.
 *
 * <p>The client never retries a request. Its result distinguishes requests that were not sent,
 * requests that the upstream reports as not run, and requests that may have run.
 */
public final class UpstreamClient {

  /** Header that carries the hop; upstreams that support it echo it in their responses. */
  public static final String HOP_HEADER = "Fawnvale-Hop";

  /** Response header by which an upstream reports that it did not run the request. */
  public static final String NOT_RUN_HEADER = "Fawnvale-Not-Run";

  private static final long DEFAULT_RETRY_SECONDS = 1;

  private final ConnectionPool pool = new ConnectionPool();

  /** Omits 'Expect: 100-continue', which adds a round trip, or a timeout if unsupported. */
  private final HttpProcessor processor =
      HttpProcessorBuilder.create()
          .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
          .build();

  private final HttpRequestExecutor executor = new HttpRequestExecutor();
  private final int connectMillis;
  private final long stallMillis;

  private UpstreamClient(int connectMillis, long stallMillis) {
    this.connectMillis = connectMillis;
    this.stallMillis = stallMillis;
  }

  /**
   * Creates a client.
   *
   * @param connectMillis timeout of each connection attempt, milliseconds
   * @param stallMillis longest wait for further bytes of a response body, milliseconds
   */
  public static UpstreamClient create(int connectMillis, long stallMillis) {
    return new UpstreamClient(connectMillis, stallMillis);
  }

  /**
   * Sends a request and waits for the head of its response.
   *
   * @param deadline deadline of the whole exchange
   * @return the outcome, as far as the response head shows it
   */
  public OpenResult open(UpstreamRequest request, Deadline deadline) {
    if (deadline.hasPassed()) {
      return new OpenResult.NotSent("the deadline has passed");
    }
    PooledConnection connection;
    try {
      connection = connection(request, deadline);
    } catch (IOException e) {
      return new OpenResult.NotSent("cannot connect to " + request.address());
    }
    return exchange(request, deadline, connection);
  }

  private PooledConnection connection(UpstreamRequest request, Deadline deadline)
      throws IOException {
    @Nullable PooledConnection idle =
        request.freshConnection() ? null : pool.take(request.address());
    if (idle != null) {
      return idle;
    }
    return PooledConnection.connect(request.address(), pool, deadline.timeoutMillis(connectMillis));
  }

  private OpenResult exchange(
      UpstreamRequest request, Deadline deadline, PooledConnection connection) {
    try {
      connection.setReadTimeout(deadline.timeoutMillis(Integer.MAX_VALUE));
      HttpCoreContext context = HttpCoreContext.create();
      ClassicHttpRequest message = message(request);
      executor.preProcess(message, processor, context);
      ClassicHttpResponse response = executor.execute(message, connection.http(), context);
      return evaluate(request, response, connection, deadline);
    } catch (SocketTimeoutException e) {
      return answerLost(connection, e, true);
    } catch (IOException | HttpException e) {
      return answerLost(connection, e, false);
    }
  }

  private static OpenResult.Failed answerLost(
      PooledConnection connection, Exception cause, boolean timedOut) {
    connection.discard();
    return new OpenResult.Failed("the answer was lost: " + cause.getMessage(), timedOut);
  }

  private OpenResult evaluate(
      UpstreamRequest request,
      ClassicHttpResponse response,
      PooledConnection connection,
      Deadline deadline) {
    Header hop = response.getFirstHeader(HOP_HEADER);
    boolean echoMissing = hop == null && request.echoRequired();
    boolean echoWrong = hop != null && !hop.getValue().equals(request.hop());
    if (echoMissing || echoWrong) {
      connection.discard();
      return new OpenResult.Failed("the answer belongs to another request", false);
    }
    if (hop == null) {
      connection.useOnce();
    }
    if (response.getFirstHeader(NOT_RUN_HEADER) != null) {
      connection.discard();
      return new OpenResult.Refused(response.getCode(), retryAfter(response));
    }
    return new OpenResult.Opened(new OpenAnswer(response, connection, deadline, stallMillis));
  }

  private static long retryAfter(ClassicHttpResponse response) {
    Header header = response.getFirstHeader("Retry-After");
    try {
      return header == null ? DEFAULT_RETRY_SECONDS : Long.parseLong(header.getValue());
    } catch (NumberFormatException e) {
      return DEFAULT_RETRY_SECONDS;
    }
  }

  private static ClassicHttpRequest message(UpstreamRequest request) throws IOException {
    HttpHost host;
    try {
      host = HttpHost.create("http://" + request.address());
    } catch (java.net.URISyntaxException e) {
      throw new IOException("The address " + request.address() + " is not of the form IP:port.", e);
    }
    ClassicRequestBuilder builder =
        ClassicRequestBuilder.create(request.method()).setHttpHost(host).setPath(request.path());
    builder.setHeader(HOP_HEADER, request.hop());
    String contentType = "application/json";
    for (Map.Entry<String, String> header : request.headers().entrySet()) {
      if ("Content-Type".equalsIgnoreCase(header.getKey())) {
        contentType = header.getValue();
      } else {
        builder.setHeader(header.getKey(), header.getValue());
      }
    }
    if (request.body().length > 0) {
      builder.setHeader(HttpHeaders.CONTENT_TYPE, contentType);
      builder.setEntity(new ByteArrayEntity(request.body(), null));
    }
    return builder.build();
  }
}
