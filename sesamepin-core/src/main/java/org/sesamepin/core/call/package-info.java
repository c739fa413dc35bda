/** Decisions about one online call, without input or output. */
@NullMarked
package org.sesamepin.core.call;

import org.jspecify.annotations.NullMarked;
