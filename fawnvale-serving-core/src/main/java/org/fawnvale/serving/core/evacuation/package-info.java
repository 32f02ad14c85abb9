/** Decides which data centres get no requests because the operator has evacuated them. */
@NullMarked
package org.fawnvale.serving.core.evacuation;

import org.jspecify.annotations.NullMarked;
