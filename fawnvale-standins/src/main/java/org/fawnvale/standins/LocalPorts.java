package org.fawnvale.standins;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds the local TCP ports that a process of this machine uses, from the proc file system. */
final class LocalPorts {

  private static final Path PROC = Path.of("/proc");
  private static final List<String> TABLES = List.of("tcp", "tcp6");
  private static final int LOCAL_ADDRESS_COLUMN = 1;
  private static final int INODE_COLUMN = 9;
  private static final int HEXADECIMAL = 16;
  private static final String SOCKET_PREFIX = "socket:[";

  private LocalPorts() {}

  /**
   * Returns the ports of a process.
   *
   * @param pid the process id
   * @return the ports; empty if the process has ended
   */
  static Set<Integer> of(long pid) throws IOException {
    Set<String> inodes = inodes(PROC.resolve(String.valueOf(pid)).resolve("fd"));
    Set<Integer> ports = new HashSet<>();
    for (String table : TABLES) {
      for (String line : Files.readAllLines(PROC.resolve("net").resolve(table))) {
        String[] columns = line.trim().split("\\s+");
        if (columns.length > INODE_COLUMN && inodes.contains(columns[INODE_COLUMN])) {
          String address = columns[LOCAL_ADDRESS_COLUMN];
          String port = address.substring(address.indexOf(':') + 1);
          ports.add(Integer.parseInt(port, HEXADECIMAL));
        }
      }
    }
    return ports;
  }

  private static Set<String> inodes(Path descriptors) throws IOException {
    Set<String> inodes = new HashSet<>();
    try (DirectoryStream<Path> links = Files.newDirectoryStream(descriptors)) {
      for (Path link : links) {
        String target = target(link);
        if (target.startsWith(SOCKET_PREFIX)) {
          inodes.add(target.substring(SOCKET_PREFIX.length(), target.length() - 1));
        }
      }
    } catch (NoSuchFileException e) {
      // The process has ended.
    }
    return inodes;
  }

  private static String target(Path link) throws IOException {
    try {
      return Files.readSymbolicLink(link).toString();
    } catch (NoSuchFileException e) {
      return "";
    }
  }
}
