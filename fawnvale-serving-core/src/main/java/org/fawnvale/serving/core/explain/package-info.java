/** The story of one request, told from the log lines of several daemons. */
@NullMarked
package org.fawnvale.serving.core.explain;

import org.jspecify.annotations.NullMarked;
