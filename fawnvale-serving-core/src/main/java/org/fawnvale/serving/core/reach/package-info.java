/** Decides whether a daemon still reaches upstreams, and which peer serves its callers if not. */
@NullMarked
package org.fawnvale.serving.core.reach;

import org.jspecify.annotations.NullMarked;
