/** Tests of rate limiting. */
@NullMarked
package org.sesamepin.core.limit;

import org.jspecify.annotations.NullMarked;
