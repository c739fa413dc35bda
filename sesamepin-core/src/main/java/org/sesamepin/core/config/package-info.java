/**
 * Typed property descriptors and the INI reader that reports every problem with its section and
 * key.
 */
@NullMarked
package org.sesamepin.core.config;

import org.jspecify.annotations.NullMarked;
