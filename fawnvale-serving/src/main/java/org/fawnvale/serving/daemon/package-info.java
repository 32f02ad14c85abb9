/** The entry daemon: wiring of its services, start, graceful stop, settings and HTTP endpoints. */
@NullMarked
package org.fawnvale.serving.daemon;

import org.jspecify.annotations.NullMarked;
