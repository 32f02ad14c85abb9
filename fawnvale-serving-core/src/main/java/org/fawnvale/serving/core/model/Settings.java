package org.fawnvale.serving.core.model;

import java.util.List;

/**
 * Settings of a serving daemon.
 *
 * @param name the daemon's name
 * @param address its IP address
 * @param frontend the address that callers connect to
 * @param ready the address of the readiness endpoint for the load balancer
 * @param metrics the address of the metrics endpoint
 * @param peerPort the UDP port for messages between daemons
 * @param seedHosts addresses of a few daemons, some of which may no longer exist
 * @param store the address of the platform's store
 * @param bounds times and rates promised to callers
 * @param policy the enabled mechanisms
 * @param firstStart whether the whole system starts for the first time, so that nothing serves yet
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
   * Times and rates promised to callers and to the platform.
   *
   * @param stallMillis how long a group that has lost a member stalls before it counts as broken,
   *     in milliseconds
   * @param graceMillis time between the order to stop and the kill, in milliseconds
   * @param retryRatio retries allowed for each request, over all daemons
   * @param retrySlack retries allowed in addition
   * @param retryWindowMillis the window in which retries are counted, in milliseconds
   * @param loadWindowMillis the window in which loads from the weight store are counted, in
   *     milliseconds
   * @param leavingMillis how soon after a node announces that it is leaving daemons must stop
   *     sending to it, in milliseconds
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
