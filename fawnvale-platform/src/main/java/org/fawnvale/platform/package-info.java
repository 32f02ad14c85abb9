/** Client of the platform's object API and of its list of nodes. */
@NullMarked
package org.fawnvale.platform;

import org.jspecify.annotations.NullMarked;
