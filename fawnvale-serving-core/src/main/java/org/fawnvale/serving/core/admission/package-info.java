/** Decides under overload which requests are admitted, by predicted times and by urgency. */
@NullMarked
package org.fawnvale.serving.core.admission;

import org.jspecify.annotations.NullMarked;
