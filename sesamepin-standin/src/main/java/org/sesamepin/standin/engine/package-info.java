/** Stand-in for a model engine with continuous batching. */
@NullMarked
package org.sesamepin.standin.engine;

import org.jspecify.annotations.NullMarked;
