/**
 * Stand-ins for the external systems that a fleet depends on, with scripted faults, for tests and
 * trials.
 */
@NullMarked
package org.sesamepin.standin;

import org.jspecify.annotations.NullMarked;
