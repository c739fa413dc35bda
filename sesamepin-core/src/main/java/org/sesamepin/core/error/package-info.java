/** Exceptions that name the step and the peer that failed. */
@NullMarked
package org.sesamepin.core.error;

import org.jspecify.annotations.NullMarked;
