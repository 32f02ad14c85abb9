/** Clients of model engines and plain services. */
@NullMarked
package org.fawnvale.upstream;

import org.jspecify.annotations.NullMarked;
