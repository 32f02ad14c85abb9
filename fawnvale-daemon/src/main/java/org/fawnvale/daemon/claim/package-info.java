/** Claims request keys in the platform's store, so that a request with a key runs at most once. */
@NullMarked
package org.fawnvale.daemon.claim;

import org.jspecify.annotations.NullMarked;
