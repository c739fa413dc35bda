/** HTTP client and protocols for requests to targets. */
@NullMarked
package org.sesamepin.node.target;

import org.jspecify.annotations.NullMarked;
