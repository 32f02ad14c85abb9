/** Frames, messages and authenticated links between daemons. */
@NullMarked
package org.fawnvale.wire;

import org.jspecify.annotations.NullMarked;
