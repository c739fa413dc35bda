/** Tests of parsing and verifying bundles. */
@NullMarked
package org.sesamepin.core.bundle;

import org.jspecify.annotations.NullMarked;
