/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.config;

import org.jspecify.annotations.NullMarked;
