/** Choice of a route and of the workspace behind a key. */
@NullMarked
package org.fawnvale.serving.core.route;

import org.jspecify.annotations.NullMarked;
