/** Requests that crash the nodes that run them, and when daemons stop sending them. */
@NullMarked
package org.fawnvale.serving.core.quarantine;

import org.jspecify.annotations.NullMarked;
