package org.fawnvale.serving.store;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/** What tests of watches take for a store: one object, whose value is the body of the answer. */
final class StubStore {

  static final String LIST = "/list";
  static final String WATCH = "/watch";
  static final String NAME = "config";
  static final StorePosition PLACE = new StorePosition(new StoreEra(1), 7);

  private StubStore() {}

  static Platform platform() {
    Class<?>[] types = {Platform.class};
    return (Platform)
        Proxy.newProxyInstance(
            Platform.class.getClassLoader(),
            types,
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "list" -> Call.get(LIST);
                  case "watch" -> Call.get(WATCH);
                  case "era" -> PLACE.era();
                  default -> throw new UnsupportedOperationException(method.getName());
                });
  }

  static Page<String> page(StoreEra era, byte[] body) {
    String value = new String(body, StandardCharsets.US_ASCII);
    StorePosition place = new StorePosition(era, PLACE.revision());
    return new Page<>(List.of(new Page.Item<>(NAME, place, false, value)), false, "", place);
  }

  static void answer(HttpExchange exchange, byte[] body) throws IOException {
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
