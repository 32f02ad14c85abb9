/** The entry daemon: creates its services and registers them with the kernel. */
@NullMarked
package org.fawnvale.daemon;

import org.jspecify.annotations.NullMarked;
