/** Observes how much slower than published nodes and groups work. */
@NullMarked
package org.fawnvale.serving.core.pace;

import org.jspecify.annotations.NullMarked;
