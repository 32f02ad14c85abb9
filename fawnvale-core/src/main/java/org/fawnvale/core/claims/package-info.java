/** Claims of request keys, so that a non-idempotent request runs at most once. */
@NullMarked
package org.fawnvale.core.claims;

import org.jspecify.annotations.NullMarked;
