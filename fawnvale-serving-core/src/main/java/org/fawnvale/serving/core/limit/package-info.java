/** Limits that nodes name, and that all daemons keep together. */
@NullMarked
package org.fawnvale.serving.core.limit;

import org.jspecify.annotations.NullMarked;
