/** Readiness: which replicas may serve, based on fresh reports about each of their members. */
@NullMarked
package org.fawnvale.core.readiness;

import org.jspecify.annotations.NullMarked;
