/** Plug-in with the clients of the platform's store and host list. */
@NullMarked
package org.sesamepin.node.platform;

import org.jspecify.annotations.NullMarked;
