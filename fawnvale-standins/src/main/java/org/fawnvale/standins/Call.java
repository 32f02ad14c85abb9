package org.fawnvale.standins;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to a stand-in.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param query the query parameters by name
 * @param headers the headers by name in lower case
 */
record Call(
    String method,
    String path,
    Map<String, String> query,
    Map<String, String> headers,
    byte[] body) {

  long number(String parameter, long defaultValue) {
    String text = query.get(parameter);
    return text == null ? defaultValue : Long.parseLong(text);
  }

  @Nullable String header(String name) {
    return headers.get(name.toLowerCase(java.util.Locale.ROOT));
  }
}
