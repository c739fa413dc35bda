package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Supplier;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * Limits how many calls run at once; further ones wait in order of arrival. Confined to the event
 * loop.
 */
final class CallLimiter {
    private final int mMaxRunning;
    private final int mMaxWaiting;
    private final Queue<Runnable> mWaiting = new ArrayDeque<>();
    private int mRunning;

    /**
     * Creates a limiter.
     *
     * @param maxWaiting number of waiting calls at which further ones fail
     */
    CallLimiter(int maxRunning, int maxWaiting) {
        mMaxRunning = maxRunning;
        mMaxWaiting = maxWaiting;
    }

    /** Makes a call as soon as it may run; fails at once when too many wait. */
    <T> Future<T> call(Supplier<Future<T>> call) {
        if (mRunning < mMaxRunning) {
            return run(call);
        }
        if (mWaiting.size() >= mMaxWaiting) {
            return Future.failedFuture(
                    new SesamepinException(Step.STORE_READ, "store", "too many reads are waiting"));
        }
        Promise<T> promise = Promise.promise();
        mWaiting.add(() -> run(call).onComplete(promise));
        return promise.future();
    }

    private <T> Future<T> run(Supplier<Future<T>> call) {
        mRunning++;
        return Future.succeededFuture().compose(v -> call.get()).onComplete(done -> onEnd());
    }

    private void onEnd() {
        mRunning--;
        Runnable next = mWaiting.poll();
        if (next != null) {
            next.run();
        }
    }
}
