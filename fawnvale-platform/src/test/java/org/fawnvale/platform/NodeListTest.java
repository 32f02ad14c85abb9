package org.fawnvale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.io.CloseMode;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.result.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against one odd entry that makes the platform's whole list of nodes unreadable. */
class NodeListTest {

  private static final int DEPTH = 200_000;
  private static final int DIGITS = 1_000_000;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final String LOOPBACK = "127.0.0.1";

  private final AtomicReference<byte[]> body = new AtomicReference<>(new byte[0]);
  private HttpServer server;
  private HttpObjectStore store;

  @BeforeEach
  void start() throws IOException {
    server =
        ServerBootstrap.bootstrap()
            .setLocalAddress(InetAddress.getByName(LOOPBACK))
            .setCanonicalHostName(LOOPBACK)
            .register(
                "*",
                (request, response, context) ->
                    response.setEntity(
                        new ByteArrayEntity(body.get(), ContentType.APPLICATION_JSON)))
            .create();
    server.start();
    store =
        HttpObjectStore.create(
            LOOPBACK, server.getLocalPort(), TIMEOUT_MILLIS, TIMEOUT_MILLIS, kind -> {});
  }

  @AfterEach
  void stop() {
    store.close();
    server.close(CloseMode.IMMEDIATE);
  }

  private static String entry(String name, String address, String service) {
    return "{\"name\":\""
        + name
        + "\",\"dataCentre\":\"d\",\"domain\":\"f\",\"address\":"
        + address
        + ",\"path\":\"\",\"service\":"
        + service
        + ",\"leaving\":false}";
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private List<String> listed(byte[] odd) {
    ByteArrayOutputStream list = new ByteArrayOutputStream();
    list.writeBytes(bytes("[ " + entry("n-1", "\"127.0.0.1:80\"", "null") + " , "));
    list.writeBytes(odd);
    list.writeBytes(bytes(",\n" + entry("n-3", "\"127.0.0.1:81\"", "\"s\"") + "]"));
    body.set(list.toByteArray());
    Result<List<Node>> nodes = store.nodes("d");
    return nodes.fold(
        found -> found.stream().map(Node::name).toList(), problem -> List.of(problem.message()));
  }

  private void expectSkipped(String odd) {
    String quoted = odd.substring(0, Math.min(odd.length(), 200));
    assertThat(listed(bytes(odd))).as(quoted).containsExactly("n-1", "n-3");
  }

  @Test
  void soundEntriesAreRead() {
    assertThat(listed(bytes(entry("n-2", "\"127.0.0.1:82\"", "null"))))
        .containsExactly("n-1", "n-2", "n-3");
    assertThat(listed(bytes(entry("n-2é", "\"engine.example:82\"", "null"))))
        .containsExactly("n-1", "n-2é", "n-3");
  }

  @Test
  void deepAndLongEntriesAreSkipped() {
    expectSkipped("[".repeat(DEPTH) + "]".repeat(DEPTH));
    String deep = "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH);
    expectSkipped(entry("n-2", "\"127.0.0.1:82\"", deep));
    expectSkipped(entry("n-2", "\"127.0.0.1:82\"", "9".repeat(DIGITS)));
    expectSkipped("9".repeat(DIGITS));
    expectSkipped(entry("n-2", "1e999999999", "null"));
  }

  @Test
  void entriesOfOtherTypesOrWithoutTheirFieldsAreSkipped() {
    for (String odd : List.of("null", "7", "true", "\"node\"", "[]", "{}", "[[1],{}]")) {
      expectSkipped(odd);
    }
    expectSkipped("{\"name\":\"n-2\",\"unknown\":7}");
    expectSkipped("{\"name\":\"n-2\",\"address\":\"127.0.0.1:82\"}");
  }

  @Test
  void addressesThatAreNoneAreSkipped() {
    for (String odd :
        List.of("", "nowhere", ":80", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:70000", "a b:80")) {
      expectSkipped(entry("n-2", "\"" + odd + "\"", "null"));
    }
    expectSkipped(entry("n-2", "\"127.0.0.1:99999999999999\"", "null"));
  }

  @Test
  void bytesThatAreNotUtf8AffectOnlyTheirEntry() {
    byte[] odd = bytes(entry("n-2", "\"127.0.0.1:82\"", "\"x\""));
    String text = new String(odd, StandardCharsets.UTF_8);
    odd[text.indexOf("82")] = (byte) 0xFF;
    assertThat(listed(odd)).containsExactly("n-1", "n-3");
  }

  /** Entries that are no JSON: the first ones end plainly, the last ones don't. */
  @Test
  void entriesThatAreNoJsonAreSkipped() {
    for (String odd :
        List.of(
            "{x}",
            "{'name':'n-2'}",
            "{\"name\":\"n-2\",}",
            "{\"name\":007}",
            "{\"name\":NaN}",
            "nul",
            "{\"name\":\"n\u0001\"}",
            "{\"name\":\"n\\x\"}",
            "{\"name\":\"n",
            "{\"name\":\"n\"",
            "{\"name\":[\"n\"}",
            "{\"name\":\"n\"}}")) {
      expectSkipped(odd);
    }
  }

  @Test
  void changesAreReadBesideAnObjectThatCannotBe() {
    String sound = "{\"name\":\"shared/1\",\"version\":7,\"value\":\"e30=\"}";
    for (String odd :
        List.of(
            "null",
            "7",
            "{}",
            "{\"name\":7,\"version\":1,\"value\":\"@\"}",
            "{x}",
            "{\"name\":\"n")) {
      String last = sound.replace("shared/1", "shared/2");
      body.set(bytes("{\"revision\":9,\"objects\":[" + sound + "," + odd + "," + last + "]}"));
      List<String> read =
          store
              .watch("shared/", 1, 0)
              .fold(
                  changes -> changes.objects().stream().map(StoredObject::name).toList(),
                  problem -> List.of(problem.message()));
      assertThat(read).as(odd).containsExactly("shared/1", "shared/2");
    }
  }

  @Test
  void bodyThatIsNoListIsUnreadable() {
    for (String other : List.of("", "{}", "[", "null", "[] []")) {
      body.set(bytes(other));
      boolean read = store.nodes("d").fold(nodes -> true, problem -> false);
      assertThat(read).as(other).isFalse();
    }
  }
}
