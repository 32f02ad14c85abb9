/** The leader's planning of groups: formation, opening, repair, exchange and dissolution. */
@NullMarked
package org.fawnvale.serving.core.formation;

import org.jspecify.annotations.NullMarked;
