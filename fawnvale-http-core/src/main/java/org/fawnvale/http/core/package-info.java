/** What messages of HTTP/1.1 may hold, and what their statuses say; no input or output. */
@NullMarked
package org.fawnvale.http.core;

import org.jspecify.annotations.NullMarked;
