package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Responds to a request that is not run. Callers of the methods hold the lock. */
final class Refusal {

  private static final Logger LOG = LogManager.getLogger("gateway");

  private final Gateway gateway;
  private final CallerResponse caller;
  private final @Nullable String id;
  private final boolean forwarded;

  /**
   * Creates the refusal of one request.
   *
   * @param id the request's id; null if it names none
   * @param forwarded whether another daemon has forwarded it, which then tries a third one
   */
  Refusal(Gateway gateway, CallerResponse caller, @Nullable String id, boolean forwarded) {
    this.gateway = gateway;
    this.caller = caller;
    this.id = id;
    this.forwarded = forwarded;
  }

  void respond(int status, String reason) {
    List<Header> headers = new ArrayList<>();
    if (id != null) {
      headers.add(new BasicHeader(gateway.headers().requestId(), id));
    }
    if (status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
      String retryAfter = Gateway.seconds(Gateway.RETRY_AFTER_MILLIS);
      headers.add(new BasicHeader(HttpHeaders.RETRY_AFTER, retryAfter));
    }
    if (forwarded) {
      headers.add(new BasicHeader(PeerForwarding.NOT_TAKEN, reason));
    }
    caller.respond(status, headers, new byte[0]);
    LOG.info("request={} status={} reason={}", id, status, reason);
    gateway.metrics().ended(GatewayMetrics.NO_ROUTE, status, 0);
  }
}
