/** Sends the group planner's orders. */
@NullMarked
package org.fawnvale.serving.formation;

import org.jspecify.annotations.NullMarked;
