/** Tests of the soak's checks and of the documentation tables that name them. */
@NullMarked
package org.fawnvale.soak;

import org.jspecify.annotations.NullMarked;
