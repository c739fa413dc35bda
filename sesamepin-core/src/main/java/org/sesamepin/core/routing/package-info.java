/** Selection of a target for a request. */
@NullMarked
package org.sesamepin.core.routing;

import org.jspecify.annotations.NullMarked;
