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
   * Limits on the bytes of memory that a daemon holds for callers.
   *
   * @param perCallerBytes the most unread response bytes of one caller
   * @param totalBytes the most bytes of unread responses and request bodies of all callers together
   * @param stalledMillis how long a caller may leave its buffer full before the daemon closes its
   *     connection, in milliseconds
   * @param accountBytes the most bytes that all callers together make the daemon hold: {@code
   *     totalBytes}, and connections with the heads of their requests
   * @param connections the most open connections of callers
   */
  public record CallerBuffers(
      int perCallerBytes, long totalBytes, int stalledMillis, long accountBytes, int connections) {

    /** Holds seconds of any stream. */
    private static final int DEFAULT_PER_CALLER_BYTES = 256 << 10;

    /** As much patience as callers have with a silent daemon. */
    private static final int DEFAULT_STALLED_MILLIS = 5_000;

    /** Leaves two of three descriptors of an entry node to upstreams and other daemons. */
    private static final int DEFAULT_CONNECTIONS = 1_500;

    /** The share of the heap for responses and bodies. */
    private static final double BUFFERS_SHARE = 0.25;

    /**
     * The share of the heap for all that callers make the daemon hold. The rest is left to what it
     * knows of nodes, routes and other daemons, and to the collector.
     */
    private static final double ACCOUNT_SHARE = 0.625;

    /** The limits of a daemon with a heap of 96 MB. */
    public static final CallerBuffers DEFAULT = ofHeap(96L << 20);

    /** Creates limits on buffers, with the usual ones on all else. */
    public CallerBuffers(int perCallerBytes, long totalBytes, int stalledMillis) {
      this(
          perCallerBytes,
          totalBytes,
          stalledMillis,
          totalBytes + DEFAULT.accountBytes() - DEFAULT.totalBytes(),
          DEFAULT_CONNECTIONS);
    }

    /**
     * Returns the limits that suit a heap.
     *
     * @param heapBytes the most bytes of the heap
     * @return the limits
     */
    public static CallerBuffers ofHeap(long heapBytes) {
      return new CallerBuffers(
          DEFAULT_PER_CALLER_BYTES,
          (long) (heapBytes * BUFFERS_SHARE),
          DEFAULT_STALLED_MILLIS,
          (long) (heapBytes * ACCOUNT_SHARE),
          DEFAULT_CONNECTIONS);
    }
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
