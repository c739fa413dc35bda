/** Plug-ins for the platform's store and list of hosts. */
@NullMarked
package org.sesamepin.node.platform;

import org.jspecify.annotations.NullMarked;
