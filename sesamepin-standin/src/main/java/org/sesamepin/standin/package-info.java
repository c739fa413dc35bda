/** Stand-ins of the systems that a fleet meets, with scripted faults, for tests and trials. */
@NullMarked
package org.sesamepin.standin;

import org.jspecify.annotations.NullMarked;
