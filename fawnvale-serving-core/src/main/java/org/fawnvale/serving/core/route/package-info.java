/** Lookup of routes and of the workspaces that API keys belong to. */
@NullMarked
package org.fawnvale.serving.core.route;

import org.jspecify.annotations.NullMarked;
