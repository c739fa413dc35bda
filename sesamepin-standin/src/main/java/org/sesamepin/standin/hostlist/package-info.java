/** Stand-in of the platform's lagging list of hosts. */
@NullMarked
package org.sesamepin.standin.hostlist;

import org.jspecify.annotations.NullMarked;
