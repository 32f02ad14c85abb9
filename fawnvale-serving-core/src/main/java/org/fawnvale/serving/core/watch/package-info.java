/**
 * How daemons poll the platform's store, copy its objects from each other, and detect its outages.
 */
@NullMarked
package org.fawnvale.serving.core.watch;

import org.jspecify.annotations.NullMarked;
