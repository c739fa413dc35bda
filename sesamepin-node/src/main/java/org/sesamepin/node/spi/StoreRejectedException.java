package org.sesamepin.node.spi;

import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * The store rejected a call for good: it was not executed, and would be rejected again if it were
 * repeated unchanged, such as a value that is too large.
 */
public final class StoreRejectedException extends SesamepinException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a call that the store answered with {@code status}. */
    public StoreRejectedException(Step step, int status) {
        super(step, "store", "rejected with status " + status);
    }
}
