/** Tests of the soak's judge and of the table of promises. */
@NullMarked
package org.fawnvale.soak;

import org.jspecify.annotations.NullMarked;
