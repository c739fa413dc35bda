/** Limits on the rate and burst of each customer that hold exactly across all hosts. */
@NullMarked
package org.sesamepin.core.limit;

import org.jspecify.annotations.NullMarked;
