/** Planning: which nodes form each replica, and when a replica is drained, rebuilt or removed. */
@NullMarked
package org.fawnvale.core.planning;

import org.jspecify.annotations.NullMarked;
