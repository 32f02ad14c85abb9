/** The observed pace of nodes and groups. */
@NullMarked
package org.fawnvale.serving.core.pace;

import org.jspecify.annotations.NullMarked;
