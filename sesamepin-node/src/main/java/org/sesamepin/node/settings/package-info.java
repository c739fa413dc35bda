/** Settings of one node. */
@NullMarked
package org.sesamepin.node.settings;

import org.jspecify.annotations.NullMarked;
