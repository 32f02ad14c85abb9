package org.fawnvale.standins;

/** What the operator changes with a new version of the configuration. */
public enum ConfigurationChange {
  /** The version adds a route. */
  ROUTE_ADDED,
  /** The version removes the oldest added route but never the last one. */
  ROUTE_REMOVED,
  /** The version changes the timeout of the route for streams. */
  ROUTE_TIMEOUT,
  /** The version changes how long connections of callers may be idle. */
  IDLE_TIMEOUT,
  /** The version adds an API key that no caller uses. */
  KEY_ADDED,
  /** The version takes away an API key that no caller uses. */
  KEY_REMOVED
}
