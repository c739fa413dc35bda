/** Tests of the records of which version began a stream. */
@NullMarked
package org.sesamepin.core.stream;

import org.jspecify.annotations.NullMarked;
