/** The daemon that every entry host runs. */
@NullMarked
package org.sesamepin.node;

import org.jspecify.annotations.NullMarked;
