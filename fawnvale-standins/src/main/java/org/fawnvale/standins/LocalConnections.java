package org.fawnvale.standins;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringTokenizer;

/** Finds the processes of this machine's TCP connections, from the proc file system. */
final class LocalConnections {

  /** The process of a connection that belongs to none of those asked for. */
  static final long OTHER_PROCESS = -1;

  private static final Path PROC = Path.of("/proc");
  private static final List<String> TABLES = List.of("tcp", "tcp6");
  private static final int LOCAL_ADDRESS_COLUMN = 1;
  private static final int REMOTE_ADDRESS_COLUMN = 2;
  private static final int INODE_COLUMN = 9;
  private static final int HEXADECIMAL = 16;
  private static final String SOCKET_PREFIX = "socket:[";

  private LocalConnections() {}

  /**
   * Returns the process of each connection of this machine.
   *
   * @param pids the processes asked for; one that has ended has no connections
   * @return by connection, one of the processes or {@link #OTHER_PROCESS}
   */
  static Map<Connection, Long> byProcess(Collection<Long> pids) throws IOException {
    Map<String, Long> processes = new HashMap<>();
    for (long pid : pids) {
      addSockets(pid, processes);
    }
    Map<Connection, Long> found = new HashMap<>();
    for (String table : TABLES) {
      for (String line : Files.readAllLines(PROC.resolve("net").resolve(table))) {
        addConnection(line, processes, found);
      }
    }
    return found;
  }

  private static void addConnection(
      String line, Map<String, Long> processes, Map<Connection, Long> found) {
    StringTokenizer columns = new StringTokenizer(line);
    String local = "";
    String remote = "";
    for (int column = 0; columns.hasMoreTokens(); column++) {
      String text = columns.nextToken();
      switch (column) {
        case LOCAL_ADDRESS_COLUMN -> local = text;
        case REMOTE_ADDRESS_COLUMN -> remote = text;
        case INODE_COLUMN -> {
          if (local.indexOf(':') > 0) {
            long process = processes.getOrDefault(text, OTHER_PROCESS);
            found.put(new Connection(port(local), port(remote)), process);
          }
          return;
        }
        default -> {
          // The other columns don't matter.
        }
      }
    }
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1), HEXADECIMAL);
  }

  private static void addSockets(long pid, Map<String, Long> processes) throws IOException {
    Path descriptors = PROC.resolve(String.valueOf(pid)).resolve("fd");
    try (DirectoryStream<Path> links = Files.newDirectoryStream(descriptors)) {
      for (Path link : links) {
        String target = target(link);
        if (target.startsWith(SOCKET_PREFIX)) {
          processes.put(target.substring(SOCKET_PREFIX.length(), target.length() - 1), pid);
        }
      }
    } catch (NoSuchFileException e) {
      // The process has ended.
    }
  }

  private static String target(Path link) throws IOException {
    try {
      return Files.readSymbolicLink(link).toString();
    } catch (NoSuchFileException e) {
      return "";
    }
  }
}
