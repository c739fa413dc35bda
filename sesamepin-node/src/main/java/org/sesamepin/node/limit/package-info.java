/** Rates and bursts of customers over the whole fleet. */
@NullMarked
package org.sesamepin.node.limit;

import org.jspecify.annotations.NullMarked;
