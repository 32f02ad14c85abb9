/** Runs the group planner and sends its orders to nodes. */
@NullMarked
package org.fawnvale.serving.formation;

import org.jspecify.annotations.NullMarked;
