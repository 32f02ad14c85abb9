/** The operators' port: bundles, status and metrics. */
@NullMarked
package org.fawnvale.daemon.operate;

import org.jspecify.annotations.NullMarked;
