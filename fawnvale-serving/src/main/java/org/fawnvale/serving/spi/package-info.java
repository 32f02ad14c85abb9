/** What an adapter to a platform provides: names, formats and calls. */
@NullMarked
package org.fawnvale.serving.spi;

import org.jspecify.annotations.NullMarked;
