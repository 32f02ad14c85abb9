/** Metrics of a daemon, in the Prometheus format. */
@NullMarked
package org.fawnvale.daemon.metrics;

import org.jspecify.annotations.NullMarked;
