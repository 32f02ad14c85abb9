package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.peer.DaemonRecord;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.HeaderNames;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/** A platform with its own header names, to show that the gateway hard-codes none. */
class TestPlatform implements Platform {

  /** The path at which nodes are asked for their reports. */
  static final String REPORT_PATH = "/report";

  static final HeaderNames NAMES =
      new HeaderNames(
          "T-Id",
          "T-Left",
          "T-Signed",
          "T-Node",
          "T-Workspace",
          "T-Model",
          "T-Last-Event",
          "T-Rank");

  @Override
  public HeaderNames headers() {
    return NAMES;
  }

  @Override
  public String readyPath() {
    return "/ready";
  }

  @Override
  public String key(String headerValue) {
    return headerValue.startsWith("Key ") ? headerValue.substring(4) : null;
  }

  @Override
  public Call list(Kind kind, String afterName, boolean allowStale) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Call watch(Kind kind, StorePosition place, int waitMillis) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public StoreEra era(HttpResponse head) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Page<Node> nodes(StoreEra era, byte[] body) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Page<Configuration> configurations(StoreEra era, byte[] body) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Page<StoredQuarantineRecord> keptRecords(StoreEra era, byte[] body) throws IOException {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Page<String> evacuations(StoreEra era, byte[] body) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Call create(StoredQuarantineRecord kept) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Call remove(Kind kind, String name) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Page<DaemonRecord> daemons(StoreEra era, byte[] body) throws IOException {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Call create(DaemonRecord daemon) {
    throw new UnsupportedOperationException("This test has no store.");
  }

  @Override
  public Call order(GroupOrder order) {
    if (order.kind() != GroupOrder.Kind.REPORT) {
      throw new UnsupportedOperationException("This test gives no orders.");
    }
    return Call.get(REPORT_PATH);
  }

  @Override
  public GroupOrder.Outcome outcome(int status) {
    throw new UnsupportedOperationException("This test gives no orders.");
  }

  @Override
  public NodeReport report(byte[] body) {
    throw new UnsupportedOperationException("This test asks for no reports.");
  }

  @Override
  public int unrecognizedNames() {
    return 0;
  }

  @Override
  public RequestSize size(HttpRequest request) {
    return RequestSize.UNKNOWN;
  }

  @Override
  public List<String> sharedPromptParts(HttpRequest request) {
    Header parts = request.getFirstHeader("T-Parts");
    return parts == null ? List.of() : List.of(parts.getValue().split(","));
  }

  @Override
  public NodeResponse answer(HttpResponse head) {
    Header retryAfter = head.getFirstHeader("T-Rest-Ms");
    Header limit = head.getFirstHeader("T-Limit");
    Header cold = head.getFirstHeader("T-Cold-Ms");
    return new NodeResponse(
        head.getCode(),
        head.containsHeader("T-Not-Run"),
        head.containsHeader("T-Leaving"),
        retryAfter == null ? 0 : Long.parseLong(retryAfter.getValue()),
        null,
        limit == null ? null : AdvertisedLimit.of(Double.parseDouble(limit.getValue()), "told"),
        cold == null ? 0 : Integer.parseInt(cold.getValue()));
  }
}
