package org.fawnvale.standins;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The servers of the workers, which may be cut off from callers or stand still. */
final class WorkerServers {

  private static final String LOOPBACK = "127.0.0.1";

  /** Longer than any run. */
  private static final long FOREVER_MILLIS = 3_600_000;

  private final WorkerCuts cuts = new WorkerCuts();
  private final WorkerSilences silences = new WorkerSilences();
  private final Map<String, StandInServer> servers = new ConcurrentHashMap<>();
  private final Set<String> dark = ConcurrentHashMap.newKeySet();

  WorkerCuts cuts() {
    return cuts;
  }

  WorkerSilences silences() {
    return silences;
  }

  /** Starts the server of a worker on a free port and returns its address. */
  String start(String id, StandInServer.Handler worker) throws IOException {
    StandInServer server = StandInServer.start(LOOPBACK, 0, silences.guard(id, worker), cuts);
    servers.put(id, server);
    return LOOPBACK + ":" + server.port();
  }

  boolean isRunning(String id) {
    return servers.containsKey(id) && !isDark(id);
  }

  boolean isDark(String id) {
    return dark.contains(id);
  }

  /** Lets the connections of a worker hang and drops new ones, until the server is closed. */
  void goDark(String id) throws IOException {
    silences.begin(List.of(id), FOREVER_MILLIS);
    StandInServer server = servers.get(id);
    if (server != null) {
      dark.add(id);
      server.goDark();
    }
  }

  /** Ends the server of a worker, if it has one, and its silence. */
  void close(String id) {
    dark.remove(id);
    StandInServer server = servers.remove(id);
    if (server != null) {
      server.close();
    }
    silences.end(id);
  }

  void closeAll() {
    servers.values().forEach(StandInServer::close);
  }
}
