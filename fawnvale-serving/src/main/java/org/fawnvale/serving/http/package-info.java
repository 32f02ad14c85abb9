/** Non-blocking HTTP over HttpCore: one dispatch thread, kept connections, whole calls. */
@NullMarked
package org.fawnvale.serving.http;

import org.jspecify.annotations.NullMarked;
