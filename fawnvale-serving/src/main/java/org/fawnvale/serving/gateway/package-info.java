/** HTTP gateway: forwards callers' requests to upstreams and returns the responses. */
@NullMarked
package org.fawnvale.serving.gateway;

import org.jspecify.annotations.NullMarked;
