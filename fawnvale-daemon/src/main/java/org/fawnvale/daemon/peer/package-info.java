/** Connections to the other daemons and the exchange of messages over them. */
@NullMarked
package org.fawnvale.daemon.peer;

import org.jspecify.annotations.NullMarked;
