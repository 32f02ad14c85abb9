/**
 * Stand-ins for the platform, model engines and plain services. They are not part of the product.
 */
@NullMarked
package org.fawnvale.standins;

import org.jspecify.annotations.NullMarked;
