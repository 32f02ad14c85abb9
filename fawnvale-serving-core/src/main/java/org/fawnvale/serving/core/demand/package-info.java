/** The work that callers request from the engines, and the engine time that it takes. */
@NullMarked
package org.fawnvale.serving.core.demand;

import org.jspecify.annotations.NullMarked;
