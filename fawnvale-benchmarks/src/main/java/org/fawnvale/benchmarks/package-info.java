/** Benchmarks and trace generators, run by hand and not as part of the tests. */
@NullMarked
package org.fawnvale.benchmarks;

import org.jspecify.annotations.NullMarked;
