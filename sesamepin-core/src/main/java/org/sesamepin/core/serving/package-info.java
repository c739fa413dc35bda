/** What operators configure for a fleet of plain HTTP routes: routes, services, customers. */
@NullMarked
package org.sesamepin.core.serving;

import org.jspecify.annotations.NullMarked;
