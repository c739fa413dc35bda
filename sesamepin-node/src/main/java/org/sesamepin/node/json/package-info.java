/** JSON codec of the node. */
@NullMarked
package org.sesamepin.node.json;

import org.jspecify.annotations.NullMarked;
