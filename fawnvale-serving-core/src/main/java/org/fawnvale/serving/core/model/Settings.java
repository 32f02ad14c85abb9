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
 * @param callerBuffers limits on the bytes that are held for callers
 * @param waiting the bounds of the queue for callers whose refusal would be final
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
    CallerBuffers callerBuffers,
    Waiting waiting,
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
   * @param evacuationMillis how soon after the operator asks for the evacuation of a data centre
   *     daemons must stop sending to its upstreams, in milliseconds; 0 when the platform has no
   *     evacuations
   * @param configurationMillis how soon after the store has acknowledged a configuration daemons
   *     must apply it, in milliseconds
   */
  public record Bounds(
      int stallMillis,
      int graceMillis,
      double retryRatio,
      int retrySlack,
      int retryWindowMillis,
      int loadWindowMillis,
      int leavingMillis,
      int evacuationMillis,
      int configurationMillis) {

    /**
     * The bound if the settings have none, in milliseconds: below that of any known platform, so
     * that the polling interval is the shortest one.
     */
    public static final int DEFAULT_CONFIGURATION_MILLIS = 1_600;

    /** Creates the bounds of a platform without evacuations. */
    public Bounds(
        int stallMillis,
        int graceMillis,
        double retryRatio,
        int retrySlack,
        int retryWindowMillis,
        int loadWindowMillis,
        int leavingMillis) {
      this(
          stallMillis,
          graceMillis,
          retryRatio,
          retrySlack,
          retryWindowMillis,
          loadWindowMillis,
          leavingMillis,
          0,
          DEFAULT_CONFIGURATION_MILLIS);
    }
  }

  /**
   * Limits on the bytes that a daemon holds for callers: response bytes that a caller has not read
   * yet, and request bodies.
   *
   * @param perCallerBytes the most unread response bytes of one caller
   * @param totalBytes the most bytes of all callers together
   * @param stalledMillis how long a caller may leave its buffer full before the daemon closes its
   *     connection, in milliseconds
   */
  public record CallerBuffers(int perCallerBytes, long totalBytes, int stalledMillis) {

    /**
     * Limits that suit a daemon with a heap of 96 MB: a quarter of the heap, a buffer that holds
     * seconds of any stream, and as much patience as callers have with a silent daemon.
     */
    public static final CallerBuffers DEFAULT = new CallerBuffers(256 << 10, 24L << 20, 5_000);
  }

  /**
   * Bounds of the queue for callers that have come back after a refusal, whose next refusal would
   * be final.
   *
   * @param requests the most requests that wait at one daemon; 0: they are refused at once
   * @param millis the longest wait, in milliseconds
   */
  public record Waiting(int requests, int millis) {

    /** No queue. The wait is as long as a replacement group usually takes to form. */
    public static final Waiting OFF = new Waiting(0, 1_500);
  }
}
