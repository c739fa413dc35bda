/**
 * End-to-end scenarios on a fleet with stand-ins and injected faults, and tests of the dependencies
 * between modules.
 */
@NullMarked
package org.sesamepin.test;

import org.jspecify.annotations.NullMarked;
