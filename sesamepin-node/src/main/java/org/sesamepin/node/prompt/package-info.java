/** Detection of prompts that end the targets that answer them, and their quarantine. */
@NullMarked
package org.sesamepin.node.prompt;

import org.jspecify.annotations.NullMarked;
