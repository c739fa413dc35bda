/** Caller keys; only digests of their secrets are stored. */
@NullMarked
package org.sesamepin.core.key;

import org.jspecify.annotations.NullMarked;
