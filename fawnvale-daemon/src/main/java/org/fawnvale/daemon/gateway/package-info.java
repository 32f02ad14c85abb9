/** Serves callers' requests: checks, queues, routes, retries and answers them. */
@NullMarked
package org.fawnvale.daemon.gateway;

import org.jspecify.annotations.NullMarked;
