package org.fawnvale.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Registry of named services. Starts them in the order of registration and stops them in reverse.
 */
public final class Kernel {

  private static final Logger LOG = LogManager.getLogger("kernel");

  private final Map<String, Service> services = new LinkedHashMap<>();
  private final Deque<String> started = new ArrayDeque<>();

  /**
   * Registers a service under a name.
   *
   * @param name the name by which other services find it
   * @throws ServiceException if the name is taken
   */
  public synchronized void register(String name, Service service) throws ServiceException {
    if (services.putIfAbsent(name, service) != null) {
      throw new ServiceException("Service " + name + " is registered twice; give it another name.");
    }
  }

  /**
   * Finds a service by its name and type.
   *
   * @param name the name under which it was registered
   * @param type the type that the caller needs
   * @param <T> the type that the caller needs
   * @throws ServiceException if no service of that name and type is registered
   */
  public synchronized <T> T find(String name, Class<T> type) throws ServiceException {
    Service service = services.get(name);
    if (!type.isInstance(service)) {
      throw new ServiceException(
          "No service " + name + " of type " + type.getSimpleName() + "; register it first.");
    }
    return type.cast(service);
  }

  /**
   * Starts all services in the order of registration. If one fails to start, stops those that have
   * started.
   *
   * @throws ServiceException the exception of the service that failed to start
   */
  public synchronized void start() throws ServiceException {
    for (Map.Entry<String, Service> entry : services.entrySet()) {
      try {
        entry.getValue().start();
      } catch (ServiceException e) {
        stop();
        throw e;
      }
      started.push(entry.getKey());
    }
  }

  /**
   * Stops the started services in reverse order. A failure of one is logged, and the others stop.
   */
  public synchronized void stop() {
    while (!started.isEmpty()) {
      String name = started.pop();
      try {
        services.get(name).stop();
      } catch (RuntimeException e) {
        LOG.warn("Service {} did not stop cleanly.", name, e);
      }
    }
  }
}
