/** The daemon's copy of the platform's shared objects, and its exchange between daemons. */
@NullMarked
package org.fawnvale.daemon.state;

import org.jspecify.annotations.NullMarked;
