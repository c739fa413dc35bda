package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against reads of many jobs at once, each of which needs several times its size. */
class CallLimiterTest {
    private final CallLimiter mLimiter = new CallLimiter(2, 3);
    private final List<Promise<Integer>> mRunning = new ArrayList<>();
    private final List<Future<Integer>> mResults = new ArrayList<>();

    private void call() {
        mResults.add(
                mLimiter.call(
                        () -> {
                            Promise<Integer> promise = Promise.promise();
                            mRunning.add(promise);
                            return promise.future();
                        }));
    }

    @Test
    void furtherCallsWaitUntilOneEnds() {
        for (int i = 0; i < 4; i++) {
            call();
        }
        assertEquals(2, mRunning.size());
        mRunning.get(0).complete(1);
        assertEquals(3, mRunning.size());
        mRunning.get(1).fail("scripted");
        assertEquals(4, mRunning.size());
        mRunning.get(2).complete(3);
        mRunning.get(3).complete(4);
        assertEquals(1, mResults.get(0).result());
        assertTrue(mResults.get(1).failed());
        assertEquals(4, mResults.get(3).result());
    }

    @Test
    void callsBeyondTheQueueFailAtOnce() {
        for (int i = 0; i < 6; i++) {
            call();
        }
        assertTrue(mResults.get(5).failed());
        assertEquals(2, mRunning.size());
    }

    /** Calls that fail before they have begun must not keep others from running. */
    @Test
    void callThatThrowsFreesItsPlace() {
        for (int i = 0; i < 3; i++) {
            Future<Integer> failed =
                    mLimiter.call(
                            () -> {
                                throw new IllegalStateException("scripted");
                            });
            assertTrue(failed.failed());
        }
        call();
        assertEquals(1, mRunning.size());
    }
}
