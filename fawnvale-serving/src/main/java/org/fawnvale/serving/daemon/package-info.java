/** The daemon: its parts, start, stop and figures. */
@NullMarked
package org.fawnvale.serving.daemon;

import org.jspecify.annotations.NullMarked;
