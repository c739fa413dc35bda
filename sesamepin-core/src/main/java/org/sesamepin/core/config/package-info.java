/** Typed property descriptors and the INI reader that reports every fault with its place. */
@NullMarked
package org.sesamepin.core.config;

import org.jspecify.annotations.NullMarked;
