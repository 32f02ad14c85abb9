/**
 * Planning replicas and sending orders, by the one daemon of a data centre that holds its lease.
 */
@NullMarked
package org.fawnvale.daemon.coordinate;

import org.jspecify.annotations.NullMarked;
