/** Membership of the fleet, its active configuration and the states that the nodes exchange. */
@NullMarked
package org.sesamepin.node.fleet;

import org.jspecify.annotations.NullMarked;
