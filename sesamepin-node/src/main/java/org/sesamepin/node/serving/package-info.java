/**
 * Serves online calls by routes: admission, placement on targets, attempts and responses. The
 * configuration and the targets are watched in the store.
 */
@NullMarked
package org.sesamepin.node.serving;

import org.jspecify.annotations.NullMarked;
