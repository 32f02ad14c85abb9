package org.fawnvale.serving.store;

import java.util.function.Consumer;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Platform;

/**
 * Sends calls to the platform's store.
 *
 * @param http sends the requests
 * @param timers enforces timeouts and delays
 * @param address the address of the store
 * @param platform builds the calls and parses the answers
 */
public record StoreClient(HttpClient http, Timers timers, Endpoint address, Platform platform) {

  /**
   * Sends a call.
   *
   * @param call the request
   * @param timeoutMillis the timeout in milliseconds
   * @param done called once with the result, with the daemon's lock held
   */
  void send(Call call, int timeoutMillis, Consumer<BufferedCall.Reply> done) {
    BufferedCall.send(http, timers, address, call, timeoutMillis, done);
  }
}
