/** Stand-in for the platform's list of hosts, which lags behind the actual state. */
@NullMarked
package org.sesamepin.standin.hostlist;

import org.jspecify.annotations.NullMarked;
