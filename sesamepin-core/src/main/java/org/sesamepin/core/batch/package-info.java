/** Batch jobs: stored records, states of items, and result segments. */
@NullMarked
package org.sesamepin.core.batch;

import org.jspecify.annotations.NullMarked;
