/** Stand-in for a plain HTTP service that counts its executions. */
@NullMarked
package org.sesamepin.standin.service;

import org.jspecify.annotations.NullMarked;
