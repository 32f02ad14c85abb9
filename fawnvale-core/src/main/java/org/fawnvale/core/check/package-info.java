/**
 * Validation of settings and bundles; reports all errors at once, each with key, value and remedy.
 */
@NullMarked
package org.fawnvale.core.check;

import org.jspecify.annotations.NullMarked;
