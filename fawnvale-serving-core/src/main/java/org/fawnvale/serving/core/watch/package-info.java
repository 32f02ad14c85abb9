/** How often the platform's store and the copies of peers are asked for what is new. */
@NullMarked
package org.fawnvale.serving.core.watch;

import org.jspecify.annotations.NullMarked;
