/** Replay of traces through the daemons' decision code against simulated nodes and replicas. */
@NullMarked
package org.fawnvale.core.replay;

import org.jspecify.annotations.NullMarked;
