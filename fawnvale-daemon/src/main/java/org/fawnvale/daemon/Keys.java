package org.fawnvale.daemon;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.Result;
import org.fawnvale.core.settings.DaemonSettings;

/** Keys of callers and operators, kept as SHA-256 digests, and the key that daemons share. */
public final class Keys {

  private static final TypeReference<Map<String, String>> STRING_MAP = new TypeReference<>() {};
  private static final int MIN_KEY_BYTES = 8;

  private final Map<String, String> workspaces;
  private final Map<String, String> operators;
  private final byte[] peers;

  private Keys(Map<String, String> workspaces, Map<String, String> operators, byte[] peers) {
    this.workspaces = digestKeys(workspaces);
    this.operators = digestKeys(operators);
    this.peers = peers.clone();
  }

  private static Map<String, String> digestKeys(Map<String, String> byKey) {
    Map<String, String> byDigest = new HashMap<>();
    byKey.forEach((key, name) -> byDigest.put(DigestUtils.sha256Hex(key), name));
    return Map.copyOf(byDigest);
  }

  /**
   * Reads the key files.
   *
   * @param files paths of the key files
   * @return the keys, or the first problem found
   */
  public static Result<Keys> read(DaemonSettings.KeyFiles files) {
    try {
      byte[] peers = Files.readString(Path.of(files.peers())).strip().getBytes(UTF_8);
      if (peers.length < MIN_KEY_BYTES) {
        return invalidKeyFile("keyFiles.peers", files.peers(), "The key is too short.");
      }
      Map<String, String> callers = readNamesByKey(files.callers());
      Map<String, String> operators = readNamesByKey(files.operators());
      return Result.success(new Keys(callers, operators, peers));
    } catch (IOException e) {
      return invalidKeyFile("keyFiles", e.getMessage(), "A key file cannot be read.");
    }
  }

  private static Map<String, String> readNamesByKey(String file) throws IOException {
    try {
      return new ObjectMapper().readValue(Files.readString(Path.of(file)), STRING_MAP);
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new IOException(file + " is not a JSON object with string values", e);
    }
  }

  private static Result<Keys> invalidKeyFile(String key, String value, String message) {
    return Result.failure(
        Problem.invalid(
            key,
            value,
            message,
            "Name a readable file: a JSON object from key to name; for peers, one key as text."));
  }

  /**
   * Finds the workspace of a caller's key.
   *
   * @param key the key as the caller sent it, not its digest
   * @return the workspace, or empty if the key is unknown
   */
  public Optional<String> workspace(String key) {
    return Optional.ofNullable(workspaces.get(DigestUtils.sha256Hex(key)));
  }

  /**
   * Finds the operator of a key.
   *
   * @param key the key as the operator sent it, not its digest
   * @return the operator, or empty if the key is unknown
   */
  public Optional<String> operator(String key) {
    return Optional.ofNullable(operators.get(DigestUtils.sha256Hex(key)));
  }

  /**
   * Returns the key that all daemons share.
   *
   * @return a copy of its UTF-8 bytes
   */
  public byte[] peers() {
    return peers.clone();
  }

  private static final java.nio.charset.Charset UTF_8 = StandardCharsets.UTF_8;
}
