/** Calls between the nodes of a fleet: Thrift frames over TCP. */
@NullMarked
package org.sesamepin.node.peer;

import org.jspecify.annotations.NullMarked;
