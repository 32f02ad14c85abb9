/** Rate limits that nodes advertise and that all daemons enforce together. */
@NullMarked
package org.fawnvale.serving.core.limit;

import org.jspecify.annotations.NullMarked;
