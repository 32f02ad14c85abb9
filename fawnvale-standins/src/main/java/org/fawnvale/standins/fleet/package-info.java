/** Starts fleets of stand-ins and daemons on loopback addresses, each in a separate process. */
@NullMarked
package org.fawnvale.standins.fleet;

import org.jspecify.annotations.NullMarked;
