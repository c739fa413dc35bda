/** Command line of the {@code sesamepin} binary: its subcommands and their options. */
@NullMarked
package org.sesamepin.cli;

import org.jspecify.annotations.NullMarked;
