/** Limits the request rate and burst of each customer across the whole fleet. */
@NullMarked
package org.sesamepin.node.limit;

import org.jspecify.annotations.NullMarked;
