/** Results of operations that can fail, and problems with a message and a remedy. */
@NullMarked
package org.fawnvale.core.result;

import org.jspecify.annotations.NullMarked;
