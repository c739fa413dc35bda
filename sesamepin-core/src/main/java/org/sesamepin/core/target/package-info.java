/** Targets that register themselves, what is known of their load, and the choice among them. */
@NullMarked
package org.sesamepin.core.target;

import org.jspecify.annotations.NullMarked;
