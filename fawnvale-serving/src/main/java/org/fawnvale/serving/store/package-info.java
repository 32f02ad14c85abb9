/** Watches of the platform's store. */
@NullMarked
package org.fawnvale.serving.store;

import org.jspecify.annotations.NullMarked;
