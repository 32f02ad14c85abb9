/**
 * Micro-kernel: a registry of named services that starts them in order and stops them in reverse.
 */
@NullMarked
package org.fawnvale.kernel;

import org.jspecify.annotations.NullMarked;
