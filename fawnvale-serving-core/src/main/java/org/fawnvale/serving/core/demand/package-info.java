/** What callers ask of the engines, and what that costs by the engines' arithmetic. */
@NullMarked
package org.fawnvale.serving.core.demand;

import org.jspecify.annotations.NullMarked;
