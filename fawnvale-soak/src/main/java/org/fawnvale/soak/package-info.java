/** A soak: real daemons under signals and faults, and checks of what callers and workers saw. */
@NullMarked
package org.fawnvale.soak;

import org.jspecify.annotations.NullMarked;
