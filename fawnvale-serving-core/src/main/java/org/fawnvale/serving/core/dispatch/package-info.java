/**
 * Choice of an upstream for a request, signals of upstreams, stall detection and the retry budget.
 */
@NullMarked
package org.fawnvale.serving.core.dispatch;

import org.jspecify.annotations.NullMarked;
