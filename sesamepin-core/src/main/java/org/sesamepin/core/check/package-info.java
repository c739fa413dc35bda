/** Checks a configuration for faults before it is sent to a fleet. */
@NullMarked
package org.sesamepin.core.check;

import org.jspecify.annotations.NullMarked;
