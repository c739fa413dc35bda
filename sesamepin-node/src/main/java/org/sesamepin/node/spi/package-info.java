/** Interfaces that plug-ins implement to connect a node to the platform and the targets. */
@NullMarked
package org.sesamepin.node.spi;

import org.jspecify.annotations.NullMarked;
