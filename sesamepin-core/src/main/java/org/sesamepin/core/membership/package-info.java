/** Which hosts belong to the fleet, what each owns, and until when it may act. */
@NullMarked
package org.sesamepin.core.membership;

import org.jspecify.annotations.NullMarked;
