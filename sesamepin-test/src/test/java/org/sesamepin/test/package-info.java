/** Scenarios over the whole path, with stand-ins and faults, and checks of the module borders. */
@NullMarked
package org.sesamepin.test;

import org.jspecify.annotations.NullMarked;
