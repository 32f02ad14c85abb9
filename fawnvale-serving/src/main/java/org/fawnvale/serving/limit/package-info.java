/** Permits for shared limits and for trials of quarantined requests, exchanged between daemons. */
@NullMarked
package org.fawnvale.serving.limit;

import org.jspecify.annotations.NullMarked;
