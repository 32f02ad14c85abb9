/** Decides during a planned stop which requests still begin, and when the process exits. */
@NullMarked
package org.fawnvale.serving.core.shutdown;

import org.jspecify.annotations.NullMarked;
