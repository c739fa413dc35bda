/** Injected time. */
@NullMarked
package org.sesamepin.core.time;

import org.jspecify.annotations.NullMarked;
