/** Batch jobs whose items come inline and whose results stand at fixed positions. */
@NullMarked
package org.sesamepin.core.job;

import org.jspecify.annotations.NullMarked;
