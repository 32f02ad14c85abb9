/** What daemons tell each other, and who of them leads. */
@NullMarked
package org.fawnvale.serving.core.peer;

import org.jspecify.annotations.NullMarked;
