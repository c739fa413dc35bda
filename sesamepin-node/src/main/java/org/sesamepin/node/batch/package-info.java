/** Batch jobs: files, jobs, items and results. */
@NullMarked
package org.sesamepin.node.batch;

import org.jspecify.annotations.NullMarked;
