/** Parts JSON lists of several writers into their elements; no input or output. */
@NullMarked
package org.fawnvale.json.core;

import org.jspecify.annotations.NullMarked;
