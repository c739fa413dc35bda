package org.sesamepin.node.http;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Returns results to the event loop of the request that waits for them. */
public final class Contexts {
    private Contexts() {}

    /** Returns a future with the result of {@code future} that completes on {@code context}. */
    public static <T> Future<T> completeOn(Context context, Future<T> future) {
        Promise<T> promise = Promise.promise();
        future.onComplete(
                done ->
                        context.runOnContext(
                                v -> {
                                    if (done.succeeded()) {
                                        promise.tryComplete(done.result());
                                    } else {
                                        promise.tryFail(done.cause());
                                    }
                                }));
        return promise.future();
    }
}
