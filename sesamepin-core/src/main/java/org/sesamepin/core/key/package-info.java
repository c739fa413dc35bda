/** Caller keys: only digests are kept. */
@NullMarked
package org.sesamepin.core.key;

import org.jspecify.annotations.NullMarked;
