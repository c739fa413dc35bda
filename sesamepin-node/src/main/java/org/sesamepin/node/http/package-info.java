/** Helpers shared by the HTTP handlers: bodies, errors, event streams and request heads. */
@NullMarked
package org.sesamepin.node.http;

import org.jspecify.annotations.NullMarked;
