/** Types that describe nodes, configuration, engines and groups. */
@NullMarked
package org.fawnvale.serving.core.model;

import org.jspecify.annotations.NullMarked;
