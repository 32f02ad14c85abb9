/** The outcome of a caller's request. */
@NullMarked
package org.fawnvale.core.outcome;

import org.jspecify.annotations.NullMarked;
