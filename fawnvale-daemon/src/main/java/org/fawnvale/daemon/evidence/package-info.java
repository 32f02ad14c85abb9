/** Probes of nodes, and the heartbeats that share the probes' reports between daemons. */
@NullMarked
package org.fawnvale.daemon.evidence;

import org.jspecify.annotations.NullMarked;
