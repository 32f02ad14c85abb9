/** The settings of a daemon. */
@NullMarked
package org.fawnvale.core.settings;

import org.jspecify.annotations.NullMarked;
