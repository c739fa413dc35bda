/** Batch jobs whose items come inline: acceptance, running, results at fixed positions. */
@NullMarked
package org.sesamepin.node.job;

import org.jspecify.annotations.NullMarked;
