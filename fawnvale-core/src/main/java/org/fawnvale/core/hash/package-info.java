/** Hash-based placement; all daemons compute the same placement without coordination. */
@NullMarked
package org.fawnvale.core.hash;

import org.jspecify.annotations.NullMarked;
