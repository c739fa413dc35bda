/** Connections to targets through a peer, for hosts that are cut off from the targets. */
@NullMarked
package org.sesamepin.node.tunnel;

import org.jspecify.annotations.NullMarked;
