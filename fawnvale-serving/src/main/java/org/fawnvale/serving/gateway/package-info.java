/** The path of a request from the caller to an upstream and back. */
@NullMarked
package org.fawnvale.serving.gateway;

import org.jspecify.annotations.NullMarked;
