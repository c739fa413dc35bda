/** Health, metrics and status for operators. */
@NullMarked
package org.sesamepin.node.admin;

import org.jspecify.annotations.NullMarked;
