/** The operators' versioned bundle: customers, keys, rates, routes, models and targets. */
@NullMarked
package org.sesamepin.core.bundle;

import org.jspecify.annotations.NullMarked;
