/** Permits for shared limits and for trials of barred requests, exchanged between daemons. */
@NullMarked
package org.fawnvale.serving.limit;

import org.jspecify.annotations.NullMarked;
