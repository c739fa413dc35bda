/** Targets that register themselves, their load, and the selection of a target for a request. */
@NullMarked
package org.sesamepin.core.target;

import org.jspecify.annotations.NullMarked;
