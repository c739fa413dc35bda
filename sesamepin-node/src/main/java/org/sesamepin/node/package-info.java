/** The daemon that runs on every entry host. */
@NullMarked
package org.sesamepin.node;

import org.jspecify.annotations.NullMarked;
