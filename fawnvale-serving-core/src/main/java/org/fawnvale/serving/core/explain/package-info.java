/** Analysis of the log lines of several daemons: timelines of requests and summaries of load. */
@NullMarked
package org.fawnvale.serving.core.explain;

import org.jspecify.annotations.NullMarked;
