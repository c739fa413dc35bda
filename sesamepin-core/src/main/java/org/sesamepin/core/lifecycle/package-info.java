/** Ordered clean-up of resources. */
@NullMarked
package org.sesamepin.core.lifecycle;

import org.jspecify.annotations.NullMarked;
