package org.fawnvale.serving.core.model;

import java.util.List;

/**
 * Settings of a serving daemon.
 *
 * @param name the daemon's name
 * @param address its IP address
 * @param dataCentre its data centre
 * @param frontend where callers reach it
 * @param ready where the balancer asks whether it is ready
 * @param metrics where figures are served
 * @param peerPort the port of datagrams between daemons
 * @param seedHosts addresses of a few daemons, which may be gone
 * @param store where the platform's store listens
 * @param bounds times and rates promised to callers
 * @param policy the mechanisms at work
 * @param firstStart whether the whole system starts for the first time: nothing serves yet
 */
public record Settings(
    String name,
    String address,
    String dataCentre,
    Endpoint frontend,
    Endpoint ready,
    Endpoint metrics,
    int peerPort,
    List<String> seedHosts,
    Endpoint store,
    Bounds bounds,
    Policy policy,
    boolean firstStart) {

  /**
   * Times and rates promised to callers.
   *
   * @param stallMillis how long a group stands still after a loss until it is broken
   * @param graceMillis time between the order to stop and the kill
   * @param retryRatio repeats allowed for each request, over all daemons
   * @param retrySlack repeats allowed beside those
   * @param retryWindowMillis the window that the repeats are counted in
   * @param loadWindowMillis the window that loads from the weight store are counted in
   * @param leavingMillis how soon after a node says that it leaves nothing may be sent there
   */
  public record Bounds(
      int stallMillis,
      int graceMillis,
      double retryRatio,
      int retrySlack,
      int retryWindowMillis,
      int loadWindowMillis,
      int leavingMillis) {}
}
