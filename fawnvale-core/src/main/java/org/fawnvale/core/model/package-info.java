/** Immutable data types of bundles, of objects stored on the platform and of daemons' messages. */
@NullMarked
package org.fawnvale.core.model;

import org.jspecify.annotations.NullMarked;
