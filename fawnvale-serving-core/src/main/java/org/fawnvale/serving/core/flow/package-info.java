/** Bounds the bytes that a daemon holds for its callers: when to read on, to wait and to close. */
@NullMarked
package org.fawnvale.serving.core.flow;

import org.jspecify.annotations.NullMarked;
