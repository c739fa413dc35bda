/** Tests of the tracking of batch jobs. */
@NullMarked
package org.sesamepin.core.batch;

import org.jspecify.annotations.NullMarked;
