/** The {@code fawnvale} command line: subcommands, console output and logging setup. */
@NullMarked
package org.fawnvale.cli;

import org.jspecify.annotations.NullMarked;
