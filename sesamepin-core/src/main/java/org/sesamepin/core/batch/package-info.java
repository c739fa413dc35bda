/** Batch jobs: records, item states, result segments. */
@NullMarked
package org.sesamepin.core.batch;

import org.jspecify.annotations.NullMarked;
