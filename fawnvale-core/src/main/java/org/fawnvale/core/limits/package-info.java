/** Fair queueing, admission control and retry budgets. */
@NullMarked
package org.fawnvale.core.limits;

import org.jspecify.annotations.NullMarked;
