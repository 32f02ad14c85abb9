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
 * The services of the data path, put together.
 *
 * @param callers the callers' port
 * @param forward requests handed between daemons
 * @param inFlight requests under way
 */
public record GatewayServices(CallerService callers, ForwardService forward, InFlight inFlight) {

  private static final int CACHED_BLOCKS_PER_REPLICA = 4096;
  private static final long DISPATCH_MILLIS = 20;

  /**
   * Puts the services together.
   *
   * @param context what every service needs
   * @param state what is agreed
   * @param table evidence on the nodes
   * @param routing the targets
   * @param upstream sends requests
   * @param peers links to the other daemons
   * @param claims claims request keys
   * @param metrics takes measurements
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
    InFlight inFlight = new InFlight();
    ForwardService forward = new ForwardService(context, peers, inFlight);
    PrefixIndex index = PrefixIndex.create(CACHED_BLOCKS_PER_REPLICA);
    Router router = Router.create(index, Router.Settings.DEFAULT);
    GatewayParts parts = new GatewayParts(context, table, upstream, metrics, index);
    Gateway gateway = new Gateway(context, parts, state, routing, router, forward::spill);
    IssuedRequestKeys issuedKeys =
        IssuedRequestKeys.create(context.identity().daemon(), context.identity().incarnation());
    OnceGuard once = new OnceGuard(context, claims, issuedKeys, forward::toMaker);
    forward.runWith(
        (request, purpose) ->
            purpose == ForwardService.Purpose.MAKER
                ? once.run(request, gateway::run)
                : gateway.run(request));
    CallerService callers = new CallerService(context, state, gateway, once, inFlight, metrics);
    context
        .scheduler()
        .scheduleWithFixedDelay(
            gateway::dispatch, DISPATCH_MILLIS, DISPATCH_MILLIS, TimeUnit.MILLISECONDS);
    metrics.gauge("fawnvale.in.flight", "", "Requests under way.", inFlight::count);
    metrics.gauge("fawnvale.waiting", "", "Requests that wait.", gateway::waiting);
    return new GatewayServices(callers, forward, inFlight);
  }
}
