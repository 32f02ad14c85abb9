/**
 * Choice of an upstream for a request, what upstreams ask for, evidence about heads, retry budget.
 */
@NullMarked
package org.fawnvale.serving.core.dispatch;

import org.jspecify.annotations.NullMarked;
