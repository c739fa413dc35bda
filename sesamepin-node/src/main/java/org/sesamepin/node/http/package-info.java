/** What all HTTP handlers share. */
@NullMarked
package org.sesamepin.node.http;

import org.jspecify.annotations.NullMarked;
