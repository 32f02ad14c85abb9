package org.fawnvale.daemon.gateway;

import org.fawnvale.core.limits.RequestClass;
import org.fawnvale.upstream.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request after its headers have been validated.
 *
 * @param id the request's id in logs and at upstreams
 * @param workspace the workspace that the caller's API key belongs to
 * @param requestClass the priority class: interactive, standard or batch
 * @param deadline the time after which the caller no longer waits for the answer
 * @param unsafe true when the request may run at most once
 * @param key the request key; null when the caller gave none
 * @param method the HTTP method
 * @param path the path, including the query
 * @param contentType the body's content type
 * @param forwarded true when another daemon forwarded the request; this daemon then doesn't forward
 *     it again
 */
public record CallerRequest(
    String id,
    String workspace,
    RequestClass requestClass,
    Deadline deadline,
    boolean unsafe,
    @Nullable String key,
    String method,
    String path,
    String contentType,
    byte[] body,
    boolean forwarded) {

  /**
   * Returns a copy of the request with another request key.
   *
   * @param nextKey the request key
   */
  public CallerRequest withKey(String nextKey) {
    return new CallerRequest(
        id,
        workspace,
        requestClass,
        deadline,
        unsafe,
        nextKey,
        method,
        path,
        contentType,
        body,
        forwarded);
  }
}
