/** Local copies of the objects in the platform's store: watching, merging, exchange with peers. */
@NullMarked
package org.fawnvale.serving.store;

import org.jspecify.annotations.NullMarked;
