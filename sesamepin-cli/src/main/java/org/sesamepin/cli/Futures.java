package org.sesamepin.cli;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Blocks the thread of a command until a future completes; not for event loops. */
final class Futures {
    private Futures() {}

    /**
     * Returns the result of a future.
     *
     * @throws SesamepinException when the future fails or does not complete within {@code
     *     timeoutMs} milliseconds
     */
    static <T> T await(Future<T> future, long timeoutMs)
            throws SesamepinException, InterruptedException {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof SesamepinException cause) {
                throw cause;
            }
            throw new SesamepinException(Step.START, "local", String.valueOf(e.getCause()));
        } catch (TimeoutException e) {
            throw new SesamepinException(
                    Step.START, "local", "no response within " + timeoutMs + " ms");
        }
    }
}
