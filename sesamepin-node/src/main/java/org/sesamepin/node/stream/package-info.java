/** Records in the store of which software version began a stream, and the search for them. */
@NullMarked
package org.sesamepin.node.stream;

import org.jspecify.annotations.NullMarked;
