/** Errors that carry the step and the peer at which they arose. */
@NullMarked
package org.sesamepin.core.error;

import org.jspecify.annotations.NullMarked;
