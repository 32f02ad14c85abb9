/** Messages between daemons, sent as UDP datagrams. */
@NullMarked
package org.fawnvale.serving.peer;

import org.jspecify.annotations.NullMarked;
