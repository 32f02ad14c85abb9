/**
 * Non-blocking HTTP on HttpCore: reactor, client with pooled connections, buffered calls, timers.
 */
@NullMarked
package org.fawnvale.serving.http;

import org.jspecify.annotations.NullMarked;
