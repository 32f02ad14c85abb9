package org.fawnvale.core.settings;

import org.jspecify.annotations.Nullable;

/**
 * The settings of a daemon, read from a JSON file.
 *
 * @param name the name of the daemon, unique across all data centres
 * @param dataCentre the data centre of the daemon
 * @param callers the listener for callers
 * @param operators the listener for operators
 * @param peers the listener for other daemons
 * @param platform the address of the platform
 * @param keyFiles files with keys
 * @param limits limits on requests, responses and connections
 * @param timing periods and timeouts
 * @param log format and level of the log
 */
public record DaemonSettings(
    String name,
    String dataCentre,
    Listener callers,
    Listener operators,
    Listener peers,
    Endpoint platform,
    KeyFiles keyFiles,
    Limits limits,
    Timing timing,
    LogSettings log) {

  /** Replaces missing settings by their defaults. */
  public DaemonSettings {
    limits = limits == null ? Limits.DEFAULT : limits;
    timing = timing == null ? Timing.DEFAULT : timing;
    log = log == null ? LogSettings.DEFAULT : log;
  }

  /**
   * An address to listen on.
   *
   * @param address the IP address
   * @param port the port; 0 for any free port
   * @param certificateFile PEM file with the certificate chain; null for no TLS
   * @param privateKeyFile PEM file with the private key; null for no TLS
   */
  public record Listener(
      String address,
      int port,
      @Nullable String certificateFile,
      @Nullable String privateKeyFile) {}

  /**
   * An address to connect to.
   *
   * @param address the IP address
   */
  public record Endpoint(String address, int port) {}

  /**
   * Files with keys; their contents are never logged.
   *
   * @param callers file with a JSON object that maps keys of callers to workspaces
   * @param operators file with a JSON object that maps keys of operators to operators
   * @param peers file with the key that all daemons share
   */
  public record KeyFiles(String callers, String operators, String peers) {}

  /**
   * Limits on requests, responses and connections; 0 in the file selects the default.
   *
   * @param bodyBytes maximum size of a request body, bytes
   * @param answerBytes maximum size of a response, bytes
   * @param deadlineMillis deadline of requests that specify none, milliseconds
   * @param maximumDeadlineMillis maximum deadline that a request may specify, milliseconds
   * @param waitingPerWorkspace maximum number of waiting requests of one workspace and class
   * @param connections maximum number of concurrent connections of callers
   * @param keptAnswers number of responses to non-idempotent requests that are kept for repeated
   *     requests
   */
  public record Limits(
      int bodyBytes,
      int answerBytes,
      long deadlineMillis,
      long maximumDeadlineMillis,
      int waitingPerWorkspace,
      int connections,
      int keptAnswers) {

    /** The defaults. */
    public static final Limits DEFAULT = new Limits(0, 0, 0, 0, 0, 0, 0);

    /** Replaces zeros by defaults. */
    public Limits {
      bodyBytes = bodyBytes == 0 ? 1024 * 1024 : bodyBytes;
      answerBytes = answerBytes == 0 ? 16 * 1024 * 1024 : answerBytes;
      deadlineMillis = deadlineMillis == 0 ? 60_000 : deadlineMillis;
      maximumDeadlineMillis = maximumDeadlineMillis == 0 ? 600_000 : maximumDeadlineMillis;
      waitingPerWorkspace = waitingPerWorkspace == 0 ? 100 : waitingPerWorkspace;
      connections = connections == 0 ? 4000 : connections;
      keptAnswers = keptAnswers == 0 ? 1000 : keptAnswers;
    }
  }

  /**
   * Periods and timeouts; 0 in the file selects the default.
   *
   * @param probeMillis probe period for each node, milliseconds
   * @param probeTimeoutMillis timeout of a probe, milliseconds
   * @param beatMillis heartbeat period within the data centre, milliseconds
   * @param freshMillis maximum age of a probe result that confirms a member, milliseconds
   * @param leaseMillis duration of the coordinator's lease, milliseconds
   * @param orderTimeoutMillis timeout of an order to an engine, milliseconds
   * @param stallMillis maximum time without progress of a response, milliseconds
   * @param claimWindowMillis how long a claimed request key is kept, milliseconds
   * @param stopGraceMillis time between reporting not ready and refusing requests at shutdown,
   *     milliseconds
   * @param planMillis planning period, milliseconds
   * @param rolloutPatienceMillis timeout for a rebuilt replica to become ready; the rollout stops
   *     after it, milliseconds
   */
  public record Timing(
      long probeMillis,
      long probeTimeoutMillis,
      long beatMillis,
      long freshMillis,
      long leaseMillis,
      long orderTimeoutMillis,
      long stallMillis,
      long claimWindowMillis,
      long stopGraceMillis,
      long planMillis,
      long rolloutPatienceMillis) {

    /** The defaults. */
    public static final Timing DEFAULT = new Timing(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** Replaces zeros by defaults. */
    public Timing {
      probeMillis = probeMillis == 0 ? 1000 : probeMillis;
      probeTimeoutMillis = probeTimeoutMillis == 0 ? 1000 : probeTimeoutMillis;
      beatMillis = beatMillis == 0 ? 1000 : beatMillis;
      freshMillis = freshMillis == 0 ? 4000 : freshMillis;
      leaseMillis = leaseMillis == 0 ? 9000 : leaseMillis;
      orderTimeoutMillis = orderTimeoutMillis == 0 ? 2000 : orderTimeoutMillis;
      stallMillis = stallMillis == 0 ? 10_000 : stallMillis;
      claimWindowMillis = claimWindowMillis == 0 ? 3_600_000 : claimWindowMillis;
      stopGraceMillis = stopGraceMillis == 0 ? 2000 : stopGraceMillis;
      planMillis = planMillis == 0 ? 500 : planMillis;
      rolloutPatienceMillis = rolloutPatienceMillis == 0 ? 900_000 : rolloutPatienceMillis;
    }
  }

  /**
   * Settings of the log.
   *
   * @param format {@code text} or {@code json}
   * @param level {@code error}, {@code warn}, {@code info} or {@code debug}
   */
  public record LogSettings(String format, String level) {

    /** The default: text at level info. */
    public static final LogSettings DEFAULT = new LogSettings("text", "info");

    /** Replaces missing settings by their defaults. */
    public LogSettings {
      format = format == null ? "text" : format;
      level = level == null ? "info" : level;
    }
  }
}
