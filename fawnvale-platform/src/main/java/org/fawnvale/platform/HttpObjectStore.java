package org.fawnvale.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.util.Timeout;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;
import org.fawnvale.http.ClientConnections;
import org.fawnvale.http.WholeBody;

/** Client of the platform's object API over HTTP. */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final HttpProcessor WITHOUT_EXPECT =
      HttpProcessorBuilder.create()
          .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
          .build();
  private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

  private final HttpHost host;
  private final HttpRequester requester;
  private final HttpRequester watcher;
  private final Timeout connectTimeout;
  private final Consumer<CallKind> counter;

  /** Kinds of calls that the platform's call budget distinguishes. */
  public enum CallKind {
    /** A read. */
    READ,
    /** A write. */
    WRITE,
    /** A watch (long poll), from its start to its response. */
    WATCH
  }

  private HttpObjectStore(
      HttpHost host, long timeoutMillis, long watchMillis, Consumer<CallKind> counter) {
    this.host = host;
    this.connectTimeout = Timeout.ofMilliseconds(timeoutMillis);
    this.requester = requester(timeoutMillis);
    this.watcher = requester(timeoutMillis + watchMillis);
    this.counter = counter;
  }

  /**
   * Creates a client.
   *
   * @param address the platform's address
   * @param timeoutMillis timeout of a response, milliseconds
   * @param watchMillis longest wait that a watch requests, milliseconds; added to the timeout
   * @param counter called with the kind of each call
   */
  public static HttpObjectStore create(
      String address, int port, long timeoutMillis, long watchMillis, Consumer<CallKind> counter) {
    HttpHost host = new HttpHost("http", address, port);
    return new HttpObjectStore(host, timeoutMillis, watchMillis, counter);
  }

  private static HttpRequester requester(long timeoutMillis) {
    Timeout timeout = Timeout.ofMilliseconds(timeoutMillis);
    SocketConfig config = SocketConfig.custom().setSoTimeout(timeout).build();
    return RequesterBootstrap.bootstrap()
        .setSocketConfig(config)
        .setHttpProcessor(WITHOUT_EXPECT)
        .setConnectionFactory(new ClientConnections(Http1Config.DEFAULT))
        .setDefaultMaxPerRoute(32)
        .setMaxTotal(64)
        .create();
  }

  @Override
  public Result<Optional<StoredObject>> get(String name) {
    counter.accept(CallKind.READ);
    return read(
        requester,
        "/objects/" + encode(name),
        answer -> {
          if (answer.status() == HttpStatus.SC_NOT_FOUND) {
            return Optional.empty();
          }
          return Optional.of(MAPPER.readValue(answer.body(), StoredObject.class));
        });
  }

  @Override
  public WriteResult put(String name, long expectedVersion, byte[] value) {
    counter.accept(CallKind.WRITE);
    ClassicRequestBuilder request =
        ClassicRequestBuilder.put("/objects/" + encode(name) + "?version=" + expectedVersion)
            .setEntity(new ByteArrayEntity(value, ContentType.APPLICATION_OCTET_STREAM));
    try {
      Answer answer = call(requester, request);
      return switch (answer.status()) {
        case HttpStatus.SC_OK ->
            new WriteResult.Written(MAPPER.readTree(answer.body()).path("version").asLong());
        case HttpStatus.SC_CONFLICT -> new WriteResult.Conflict();
        default -> new WriteResult.NotWritten("The platform answered " + answer.status() + ".");
      };
    } catch (ConnectException e) {
      return new WriteResult.NotWritten("The platform cannot be reached: " + e.getMessage());
    } catch (IOException | HttpException e) {
      return new WriteResult.Unknown("The platform's answer was lost: " + e.getMessage());
    }
  }

  @Override
  public Result<Changes> watch(String prefix, long since, long waitMillis) {
    counter.accept(CallKind.WATCH);
    String query = "?prefix=" + encode(prefix) + "&since=" + since + "&wait=" + waitMillis;
    return read(watcher, "/watch" + query, answer -> ChangesReader.read(answer.body()));
  }

  @Override
  public Result<List<Node>> nodes(String dataCentre) {
    counter.accept(CallKind.READ);
    return read(
        requester,
        "/nodes?dataCentre=" + encode(dataCentre),
        answer -> NodeListReader.read(answer.body()));
  }

  @Override
  public void close() {
    requester.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
    watcher.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
  }

  private <T> Result<T> read(HttpRequester client, String path, Parser<T> parser) {
    try {
      Answer answer = call(client, ClassicRequestBuilder.get(path));
      if (answer.status() != HttpStatus.SC_OK && answer.status() != HttpStatus.SC_NOT_FOUND) {
        return unavailable("The platform answered " + answer.status() + ".");
      }
      return Result.success(parser.parse(answer));
    } catch (IOException | HttpException e) {
      return unavailable("The platform did not answer: " + e.getMessage());
    }
  }

  private Answer call(HttpRequester client, ClassicRequestBuilder request)
      throws IOException, HttpException {
    HttpCoreContext context = HttpCoreContext.create();
    return client.execute(
        host, request.setHttpHost(host).build(), connectTimeout, context, HttpObjectStore::answer);
  }

  private static Answer answer(ClassicHttpResponse response) throws IOException {
    return new Answer(response.getCode(), WholeBody.read(response, MAXIMUM_ANSWER_BYTES));
  }

  private static <T> Result<T> unavailable(String message) {
    return Result.failure(
        Problem.of(ProblemKind.UNAVAILABLE, message, "Try again when the platform is back."));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private record Answer(int status, byte[] body) {}

  @FunctionalInterface
  private interface Parser<T> {
    T parse(Answer answer) throws IOException;
  }
}
