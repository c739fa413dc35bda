/**
 * Which software version of a service began a stream: the versions in use, the records of streams
 * that began while several were, and what follows from them for a stream that is taken up.
 */
@NullMarked
package org.sesamepin.core.stream;

import org.jspecify.annotations.NullMarked;
