/** Parts of prompts, and which of them end the targets that read them. */
@NullMarked
package org.sesamepin.core.prompt;

import org.jspecify.annotations.NullMarked;
