/** Soak test: runs real daemons under faults and checks what callers and workers observed. */
@NullMarked
package org.fawnvale.soak;

import org.jspecify.annotations.NullMarked;
