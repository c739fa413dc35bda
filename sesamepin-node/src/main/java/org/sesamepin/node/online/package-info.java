/** Serves the online requests of callers: authentication, admission, and the call to a target. */
@NullMarked
package org.sesamepin.node.online;

import org.jspecify.annotations.NullMarked;
