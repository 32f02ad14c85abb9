/** State exchange between daemons, and the election of their leader. */
@NullMarked
package org.fawnvale.serving.core.peer;

import org.jspecify.annotations.NullMarked;
