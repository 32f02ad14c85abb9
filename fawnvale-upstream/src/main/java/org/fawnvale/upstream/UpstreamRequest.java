package org.fawnvale.upstream;

import java.util.Map;

/**
 * One request to an upstream.
 *
 * @param address address of the upstream, as IP:port
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers additional headers
 * @param body the body; empty for none
 * @param hop the sender's incarnation and the number of this attempt; a response that names another
 *     hop is discarded
 * @param echoRequired true if every response has to echo the hop
 * @param freshConnection true to open a new connection, so that a refused connection proves that
 *     nothing was sent
 */
public record UpstreamRequest(
    String address,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    String hop,
    boolean echoRequired,
    boolean freshConnection) {

  /** Copies the map. */
  public UpstreamRequest {
    headers = Map.copyOf(headers);
  }
}
