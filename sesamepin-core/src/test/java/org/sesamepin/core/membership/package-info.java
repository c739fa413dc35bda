/** Tests of epochs and leases. */
@NullMarked
package org.sesamepin.core.membership;

import org.jspecify.annotations.NullMarked;
