/** Batch jobs whose items are part of the request and whose results have fixed positions. */
@NullMarked
package org.sesamepin.core.job;

import org.jspecify.annotations.NullMarked;
