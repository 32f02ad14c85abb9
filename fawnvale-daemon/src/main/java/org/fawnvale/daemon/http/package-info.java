/** HTTP servers of the daemon. */
@NullMarked
package org.fawnvale.daemon.http;

import org.jspecify.annotations.NullMarked;
