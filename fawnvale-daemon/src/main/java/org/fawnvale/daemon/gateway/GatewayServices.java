package org.fawnvale.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.fawnvale.core.claims.IssuedRequestKeys;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.core.routing.PrefixIndex;
import org.fawnvale.core.routing.Router;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.claim.ClaimService;
import org.fawnvale.daemon.metrics.DaemonMetrics;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.upstream.UpstreamClient;

/**
 * The services of the data path.
 *
 * @param callers serves the callers' HTTP port
 * @param forward exchanges requests with other daemons
 * @param inFlight counts the requests in flight
 */
public record GatewayServices(
    CallerService callers, ForwardService forward, InFlightCounter inFlight) {

  private static final int CACHED_BLOCKS_PER_REPLICA = 4096;
  private static final long DISPATCH_INTERVAL_MILLIS = 20;

  /**
   * Creates the services, schedules the dispatch of queued requests and registers gauges.
   *
   * @param context settings, clocks and executors of the daemon
   * @param state the fleet state that the daemons agree on
   * @param table which nodes are alive and ready
   * @param routing the targets of each model and plain service
   * @param upstream sends requests to nodes
   * @param peers links to the other daemons
   * @param claims claims request keys in the platform's store
   * @param metrics records the measurements
   * @return the services, not yet started
   */
  public static GatewayServices create(
      Context context,
      FleetState state,
      ReadinessTable table,
      RoutingTable routing,
      UpstreamClient upstream,
      PeerService peers,
      ClaimService claims,
      DaemonMetrics metrics) {
    InFlightCounter inFlight = new InFlightCounter();
    ForwardService forward = new ForwardService(context, peers, inFlight);
    PrefixIndex index = PrefixIndex.create(CACHED_BLOCKS_PER_REPLICA);
    Router router = Router.create(index, Router.Settings.DEFAULT);
    SharedComponents shared = new SharedComponents(context, table, upstream, metrics, index);
    Gateway gateway = new Gateway(context, shared, state, routing, router, forward::spill);
    IssuedRequestKeys issuedKeys =
        IssuedRequestKeys.create(context.identity().daemon(), context.identity().incarnation());
    AtMostOnceExecutor atMostOnce =
        new AtMostOnceExecutor(context, claims, issuedKeys, forward::sendToIssuer);
    forward.setRunner(
        (request, purpose) ->
            purpose == ForwardService.Purpose.MAKER
                ? atMostOnce.run(request, gateway::run)
                : gateway.run(request));
    CallerService callers =
        new CallerService(
            context, state, gateway, atMostOnce, inFlight, peers::hasDialedPeers, metrics);
    context
        .scheduler()
        .scheduleWithFixedDelay(
            gateway::dispatch,
            DISPATCH_INTERVAL_MILLIS,
            DISPATCH_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    metrics.gauge("fawnvale.in.flight", "", "Requests under way.", inFlight::count);
    metrics.gauge("fawnvale.waiting", "", "Requests that wait.", gateway::queuedCount);
    return new GatewayServices(callers, forward, inFlight);
  }
}
