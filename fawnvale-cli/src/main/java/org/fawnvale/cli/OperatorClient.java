package org.fawnvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.util.Timeout;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.http.ClientConnections;
import org.fawnvale.http.WholeBody;
import org.jspecify.annotations.Nullable;

/** HTTP client of a daemon's operator port. */
final class OperatorClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int TIMEOUT_SECONDS = 30;
  private static final int FIRST_ERROR_STATUS = 400;

  /** A bundle's history is the longest answer, with some kB a version. */
  private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

  private final String address;
  private final String key;
  private final @Nullable String trustFile;

  /** The result of a call: a successful response, or the problems that prevented it. */
  sealed interface Reply {
    record Done(JsonNode body) implements Reply {}

    record Refused(List<Problem> problems) implements Reply {}
  }

  OperatorClient(String address, String key, @Nullable String trustFile) {
    this.address = address;
    this.key = key;
    this.trustFile = trustFile;
  }

  Reply get(String path) {
    return call(ClassicRequestBuilder.get(path), false);
  }

  Reply post(String path, String operation, String body) {
    ClassicRequestBuilder request =
        ClassicRequestBuilder.post(path)
            .setHeader("Fawnvale-Operation", operation)
            .setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    return call(request, true);
  }

  private Reply call(ClassicRequestBuilder request, boolean changes) {
    SocketConfig config =
        SocketConfig.custom().setSoTimeout(Timeout.of(TIMEOUT_SECONDS, TimeUnit.SECONDS)).build();
    RequesterBootstrap bootstrap =
        RequesterBootstrap.bootstrap()
            .setSocketConfig(config)
            .setConnectionFactory(new ClientConnections(Http1Config.DEFAULT));
    try {
      if (trustFile != null) {
        bootstrap.setSslContext(Trust.context(trustFile));
      }
      try (HttpRequester requester = bootstrap.create()) {
        HttpHost host = HttpHost.create((trustFile == null ? "http://" : "https://") + address);
        request.setHttpHost(host).setHeader("Authorization", "Bearer " + key);
        return requester.execute(
            host,
            request.build(),
            Timeout.of(TIMEOUT_SECONDS, TimeUnit.SECONDS),
            HttpCoreContext.create(),
            this::parseReply);
      }
    } catch (URISyntaxException | IllegalArgumentException e) {
      return refused(ProblemKind.INVALID, "The address must have the form IP:port.");
    } catch (ConnectException e) {
      return refused(ProblemKind.UNAVAILABLE, "The daemon cannot be reached; nothing was changed.");
    } catch (IOException | HttpException e) {
      ProblemKind kind = changes ? ProblemKind.OUTCOME_UNKNOWN : ProblemKind.UNAVAILABLE;
      return refused(kind, "The daemon's response was lost: " + e.getMessage() + ".");
    }
  }

  private Reply refused(ProblemKind kind, String message) {
    String remedy =
        kind == ProblemKind.OUTCOME_UNKNOWN
            ? "Run 'fawnvale bundle history' to see whether the change is listed."
            : "Pass another daemon's operator port to --daemon, and check this daemon's logs.";
    return new Reply.Refused(List.of(new Problem(kind, "--daemon", address, message, remedy)));
  }

  private Reply parseReply(ClassicHttpResponse response) throws IOException, HttpException {
    byte[] body = WholeBody.read(response, MAXIMUM_ANSWER_BYTES);
    JsonNode tree = MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
    if (response.getCode() < FIRST_ERROR_STATUS) {
      return new Reply.Done(tree);
    }
    List<Problem> problems = new ArrayList<>();
    for (JsonNode problem : tree.path("problems")) {
      problems.add(MAPPER.treeToValue(problem, Problem.class));
    }
    if (problems.isEmpty()) {
      return refused(
          ProblemKind.UNAVAILABLE, "The daemon responded with status " + response.getCode() + ".");
    }
    return new Reply.Refused(problems);
  }
}
