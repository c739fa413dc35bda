/** The command line: one binary with subcommands. */
@NullMarked
package org.sesamepin.cli;

import org.jspecify.annotations.NullMarked;
