/** Limits that nodes name: told in the log, and asked for between daemons. */
@NullMarked
package org.fawnvale.serving.limit;

import org.jspecify.annotations.NullMarked;
