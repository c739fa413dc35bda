/** Membership, configuration and what the nodes know of each other. */
@NullMarked
package org.sesamepin.node.fleet;

import org.jspecify.annotations.NullMarked;
