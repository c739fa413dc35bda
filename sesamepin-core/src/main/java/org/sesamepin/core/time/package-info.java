/** Clock abstraction, so that tests can control time. */
@NullMarked
package org.sesamepin.core.time;

import org.jspecify.annotations.NullMarked;
