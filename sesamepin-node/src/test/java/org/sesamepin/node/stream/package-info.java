/** Tests of how the origins of streams are written to the store and found there. */
@NullMarked
package org.sesamepin.node.stream;

import org.jspecify.annotations.NullMarked;
