/**
 * Batch jobs whose items are submitted inline: acceptance, execution and publication of the results
 * at fixed positions.
 */
@NullMarked
package org.sesamepin.node.job;

import org.jspecify.annotations.NullMarked;
