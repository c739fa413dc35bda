package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks by how old a read of the cancellations items are sent when the read takes long. */
class SlowCancellationReadTest {
    /** Time after a cancellation from which on no item of the job may be sent. */
    private static final long MAX_SENT_MS = 2_500;

    private static final long CHECK_INTERVAL_MS = 200;
    private static final long READ_MS = 3_600;

    private long mNowNanos = 1;

    /** A read of two pages, each through a peer, tells nothing of the time since it was sent. */
    @Test
    void noItemIsSentByAReadThatTookTooLong() {
        MemoryStore store = new MemoryStore();
        JobStorage storage = new JobStorage(store, JobHost.MAX_VALUE_BYTES);
        JobIndex index = new JobIndex(() -> mNowNanos);
        CancellationView view =
                new CancellationView(() -> mNowNanos, storage, index, () -> mNowNanos, () -> {});
        Promise<Void> read = store.holdNextList();
        view.check(true);
        for (long ms = 0; ms < READ_MS; ms += CHECK_INTERVAL_MS) {
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS);
            view.check(true);
        }
        read.complete();
        boolean isInTime = !view.allowsSending() || view.ageMs() <= MAX_SENT_MS;
        assertTrue(isInTime, "sent by a view of " + view.ageMs() + " ms");
    }
}
