/** Simulation of a fleet under faults, and tests of the rate limits in it. */
@NullMarked
package org.sesamepin.core.fleet;

import org.jspecify.annotations.NullMarked;
