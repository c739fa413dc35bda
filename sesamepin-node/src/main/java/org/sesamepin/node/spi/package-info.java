/** Interfaces behind which plug-ins reach the platform and the targets. */
@NullMarked
package org.sesamepin.node.spi;

import org.jspecify.annotations.NullMarked;
