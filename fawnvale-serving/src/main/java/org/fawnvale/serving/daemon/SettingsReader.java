package org.fawnvale.serving.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.spi.JsonTree;

/** Reads and validates a settings file; each error message names the key, value and remedy. */
public final class SettingsReader {

  private static final Set<String> POLICY_SWITCHES =
      new TreeSet<>(
          Set.of(
              "observedDemand",
              "secondModel",
              "exchange",
              "scarceModels",
              "cutsAreNoDeaths",
              "admission",
              "urgency",
              "pace",
              "shortage"));

  /** More requests than a daemon holds bodies for; a larger number is a mistake. */
  private static final int MAX_WAITING_REQUESTS = 10_000;

  /** In milliseconds. Callers give up before a longer wait ends; a larger number is a mistake. */
  private static final int MAX_WAITING_MILLIS = 5_000;

  /** Retries for each request; a larger number is a mistake, and an infinite one no bound. */
  private static final int MAX_RETRY_RATIO = 100;

  private static final int MILLIS_PER_SECOND = 1_000;

  /** Three more ports of a daemon follow that for its peers. */
  private static final int MAX_PEER_PORT = 65_532;

  private static final String ACCOUNT_BYTES = "callerBuffers.accountBytes";

  private final JsonNode root;
  private final List<String> errors = new ArrayList<>();

  private SettingsReader(JsonNode root) {
    this.root = root;
  }

  /** A settings file that can't be used; the message lists every error with its remedy. */
  public static final class BadSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    BadSettingsException(String message) {
      super(message);
    }

    BadSettingsException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * Reads a settings file.
   *
   * @param file a JSON file
   * @throws BadSettingsException when the file can't be read or a value is invalid
   */
  public static Settings read(Path file) throws BadSettingsException {
    JsonNode root;
    try {
      root = JsonTree.read(Files.readAllBytes(file));
    } catch (JsonProcessingException e) {
      throw new BadSettingsException(
          file + " is not JSON: " + e.getOriginalMessage() + ". Correct the file.", e);
    } catch (IOException e) {
      throw new BadSettingsException(file + " can't be read: " + e + ". Name a readable file.", e);
    }
    return new SettingsReader(root).settings();
  }

  private Settings settings() throws BadSettingsException {
    Settings.Bounds bounds =
        new Settings.Bounds(
            positive("bounds.stallMillis"),
            seconds("bounds.graceSeconds") * MILLIS_PER_SECOND,
            ratio("bounds.retryRatio"),
            positive("bounds.retrySlack"),
            seconds("bounds.retryWindowSeconds") * MILLIS_PER_SECOND,
            seconds("bounds.loadWindowSeconds") * MILLIS_PER_SECOND,
            positive("bounds.leavingMillis"),
            optionalPositive("bounds.evacuationMillis", 0),
            optionalPositive(
                "bounds.configurationMillis", Settings.Bounds.DEFAULT_CONFIGURATION_MILLIS));
    Settings settings =
        new Settings(
            text("name"),
            text("address"),
            text("dataCentre"),
            endpoint("listen.frontend"),
            endpoint("listen.ready"),
            endpoint("listen.metrics"),
            port("peers.port"),
            seeds(),
            endpoint("store.address"),
            bounds,
            callerBuffers(),
            waiting(),
            policy(),
            isOn("firstStart"));
    if (!errors.isEmpty()) {
      throw new BadSettingsException(String.join(System.lineSeparator(), errors));
    }
    return settings;
  }

  private Settings.CallerBuffers callerBuffers() {
    Settings.CallerBuffers defaults =
        Settings.CallerBuffers.ofHeap(Runtime.getRuntime().maxMemory());
    int perCaller = optionalPositive("callerBuffers.perCallerBytes", defaults.perCallerBytes());
    long total = optionalBytes("callerBuffers.totalBytes", defaults.totalBytes());
    int stalled = optionalPositive("callerBuffers.stalledMillis", defaults.stalledMillis());
    long connectionBytes = defaults.accountBytes() - defaults.totalBytes();
    long account = optionalBytes(ACCOUNT_BYTES, total + connectionBytes);
    int connections = optionalPositive("callerBuffers.connections", defaults.connections());
    if (account - total < CallerHolding.CONNECTION_BYTES) {
      errors.add(
          ACCOUNT_BYTES
              + " = "
              + account
              + ": leaves no room for connections. Write at least "
              + CallerHolding.CONNECTION_BYTES
              + " more than callerBuffers.totalBytes, "
              + total
              + ".");
    }
    return new Settings.CallerBuffers(perCaller, total, stalled, account, connections);
  }

  private long optionalBytes(String key, long otherwise) {
    return at(key).isMissingNode() ? otherwise : positive(key);
  }

  private Settings.Waiting waiting() {
    Settings.Waiting off = Settings.Waiting.OFF;
    return new Settings.Waiting(
        whole("waiting.requests", 0, MAX_WAITING_REQUESTS, off.requests()),
        whole("waiting.millis", 1, MAX_WAITING_MILLIS, off.millis()));
  }

  private Policy policy() {
    root.path("policy")
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (!POLICY_SWITCHES.contains(name)) {
                errors.add(
                    "policy." + name + ": unknown switch. Write one of " + POLICY_SWITCHES + ".");
              }
            });
    return new Policy(
        isOn("policy.observedDemand"),
        isOn("policy.secondModel"),
        isOn("policy.exchange"),
        isOn("policy.scarceModels"),
        isOn("policy.cutsAreNoDeaths"),
        isOn("policy.admission", Policy.DEFAULT.admission()),
        isOn("policy.urgency", Policy.DEFAULT.urgency()),
        isOn("policy.pace", Policy.DEFAULT.pace()),
        isOn("policy.shortage", Policy.DEFAULT.shortage()));
  }

  private boolean isOn(String key) {
    return isOn(key, true);
  }

  private boolean isOn(String key, boolean otherwise) {
    JsonNode value = at(key);
    if (!value.isMissingNode() && !value.isBoolean()) {
      errors.add(key + " = " + value + ": not a boolean. Write true or false.");
    }
    return value.asBoolean(otherwise);
  }

  private JsonNode at(String key) {
    return root.at("/" + key.replace('.', '/'));
  }

  private String text(String key) {
    JsonNode value = at(key);
    if (!value.isTextual() || value.textValue().isBlank()) {
      errors.add(key + " = " + value + ": not a string. Write it in quotes.");
      return "";
    }
    return value.textValue();
  }

  private int positive(String key) {
    double value = number(key);
    if (value < 1 || value > Integer.MAX_VALUE) {
      errors.add(key + " = " + at(key) + ": out of range. Write a whole number above 0.");
      return 1;
    }
    return (int) value;
  }

  /** Reads a time in seconds, whose milliseconds fit into an integer. */
  private int seconds(String key) {
    return atMost(Integer.MAX_VALUE / MILLIS_PER_SECOND, key);
  }

  private int port(String key) {
    return atMost(MAX_PEER_PORT, key);
  }

  private int atMost(int most, String key) {
    int value = positive(key);
    if (value > most) {
      errors.add(
          key + " = " + at(key) + ": out of range. Write a whole number up to " + most + ".");
      return 1;
    }
    return value;
  }

  private double ratio(String key) {
    double value = number(key);
    if (!(value >= 0 && value <= MAX_RETRY_RATIO)) {
      errors.add(
          key
              + " = "
              + at(key)
              + ": out of range. Write a number from 0 to "
              + MAX_RETRY_RATIO
              + ".");
      return 0;
    }
    return value;
  }

  private int optionalPositive(String key, int otherwise) {
    return at(key).isMissingNode() ? otherwise : positive(key);
  }

  private int whole(String key, int least, int most, int otherwise) {
    JsonNode value = at(key);
    if (value.isMissingNode()) {
      return otherwise;
    }
    boolean isWhole = value.isIntegralNumber() && value.canConvertToInt();
    if (!isWhole || value.intValue() < least || value.intValue() > most) {
      errors.add(
          String.format(
              "%s = %s: not in range. Write a whole number from %d to %d.",
              key, value, least, most));
      return otherwise;
    }
    return value.intValue();
  }

  private double number(String key) {
    JsonNode value = at(key);
    if (!value.isNumber()) {
      errors.add(key + " = " + value + ": not a number. Write it without quotes.");
      return 1;
    }
    return value.doubleValue();
  }

  private Endpoint endpoint(String key) {
    String value = text(key);
    try {
      return Endpoint.parse(value);
    } catch (IllegalArgumentException e) {
      if (!value.isEmpty()) {
        errors.add(key + " = " + value + ": not an endpoint. Write it as IP:PORT.");
      }
      return new Endpoint("127.0.0.1", 1);
    }
  }

  private List<String> seeds() {
    List<String> hosts = new ArrayList<>();
    for (JsonNode seed : at("peers.seeds")) {
      String value = seed.asText();
      int colon = value.lastIndexOf(':');
      hosts.add(colon < 0 ? value : value.substring(0, colon));
    }
    return hosts;
  }
}
