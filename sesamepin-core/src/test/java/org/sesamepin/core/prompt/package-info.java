/** Tests of the decisions about prompts that end targets. */
@NullMarked
package org.sesamepin.core.prompt;

import org.jspecify.annotations.NullMarked;
