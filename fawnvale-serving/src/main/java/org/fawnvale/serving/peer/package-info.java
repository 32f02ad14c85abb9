/** Datagrams between daemons. */
@NullMarked
package org.fawnvale.serving.peer;

import org.jspecify.annotations.NullMarked;
