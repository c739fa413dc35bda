/** Online requests from callers. */
@NullMarked
package org.sesamepin.node.online;

import org.jspecify.annotations.NullMarked;
