/** Routing: selects the replica that a request is sent to. */
@NullMarked
package org.fawnvale.core.routing;

import org.jspecify.annotations.NullMarked;
