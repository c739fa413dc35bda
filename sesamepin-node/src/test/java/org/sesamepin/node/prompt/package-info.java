/** Tests of what a host does about prompts that end targets. */
@NullMarked
package org.sesamepin.node.prompt;

import org.jspecify.annotations.NullMarked;
