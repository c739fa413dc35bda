/** Remote calls between the nodes of a fleet, as Thrift frames over TCP. */
@NullMarked
package org.sesamepin.node.peer;

import org.jspecify.annotations.NullMarked;
