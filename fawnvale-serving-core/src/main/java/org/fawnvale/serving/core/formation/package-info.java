/** Formation, opening, repair and dissolution of groups. */
@NullMarked
package org.fawnvale.serving.core.formation;

import org.jspecify.annotations.NullMarked;
