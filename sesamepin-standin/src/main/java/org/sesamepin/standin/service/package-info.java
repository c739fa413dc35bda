/** Stand-in of a plain service that counts its executions. */
@NullMarked
package org.sesamepin.standin.service;

import org.jspecify.annotations.NullMarked;
