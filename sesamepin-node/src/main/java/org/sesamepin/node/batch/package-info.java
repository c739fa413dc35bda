/** Batch jobs: upload of input files, API for jobs, execution of items, storage of results. */
@NullMarked
package org.sesamepin.node.batch;

import org.jspecify.annotations.NullMarked;
