package org.fawnvale.serving.core.model;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One version of the operator's configuration.
 *
 * @param version its version; versions increase
 * @param services the services by name
 * @param workspaces the workspaces by API key; null when callers need no keys
 * @param maxHeaderBytes the largest request header section, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param idleMillis how long a caller's connection may stay idle, in milliseconds; 0 for no limit
 * @param headerMillis how long a request's head may take from its first byte to its end, in
 *     milliseconds; 0 for no limit
 */
public record Configuration(
    long version,
    List<Route> routes,
    Map<String, ServiceSpec> services,
    @Nullable Map<String, Workspace> workspaces,
    int maxHeaderBytes,
    int maxBodyBytes,
    int idleMillis,
    int headerMillis) {

  /** Creates a configuration that does not limit how long a head may take. */
  public Configuration(
      long version,
      List<Route> routes,
      Map<String, ServiceSpec> services,
      @Nullable Map<String, Workspace> workspaces,
      int maxHeaderBytes,
      int maxBodyBytes,
      int idleMillis) {
    this(version, routes, services, workspaces, maxHeaderBytes, maxBodyBytes, idleMillis, 0);
  }

  /**
   * Returns the service whose upstreams form groups.
   *
   * @return the service; null when there is none
   */
  public @Nullable ServiceSpec engineService() {
    for (ServiceSpec service : services.values()) {
      if (service.engine() != null) {
        return service;
      }
    }
    return null;
  }

  /**
   * Returns the engine of the service whose upstreams form groups.
   *
   * @return the engine; null when there is no such service
   */
  public @Nullable EngineSpec engine() {
    ServiceSpec service = engineService();
    return service == null ? null : service.engine();
  }
}
