/** Configuration of a fleet that serves HTTP routes: routes, services and customers. */
@NullMarked
package org.sesamepin.core.serving;

import org.jspecify.annotations.NullMarked;
