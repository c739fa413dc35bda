/** Serves calls by routes, with targets and configuration that are watched in the store. */
@NullMarked
package org.sesamepin.node.serving;

import org.jspecify.annotations.NullMarked;
