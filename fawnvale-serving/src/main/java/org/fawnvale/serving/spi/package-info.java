/** The interface that an adapter to a platform implements: names, formats and HTTP calls. */
@NullMarked
package org.fawnvale.serving.spi;

import org.jspecify.annotations.NullMarked;
