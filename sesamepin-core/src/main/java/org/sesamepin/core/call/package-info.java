/** Decision logic for one online call, free of I/O. */
@NullMarked
package org.sesamepin.core.call;

import org.jspecify.annotations.NullMarked;
