/** Members of the fleet, ownership of keys, and leases on shares of the rates. */
@NullMarked
package org.sesamepin.core.membership;

import org.jspecify.annotations.NullMarked;
