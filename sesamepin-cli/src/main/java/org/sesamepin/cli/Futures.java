package org.sesamepin.cli;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Waits for futures on the command line's own thread. */
final class Futures {
    private Futures() {}

    /** Returns the result; fails with the future's own error, or when it takes too long. */
    static <T> T await(Future<T> future, long timeoutMs)
            throws SesamepinException, InterruptedException {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof SesamepinException known) {
                throw known;
            }
            throw new SesamepinException(Step.START, "local", String.valueOf(e.getCause()));
        } catch (TimeoutException e) {
            throw new SesamepinException(Step.START, "local", "no answer in " + timeoutMs + " ms");
        }
    }
}
