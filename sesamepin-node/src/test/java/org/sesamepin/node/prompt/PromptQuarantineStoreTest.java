package org.sesamepin.node.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreTransaction;

/** Guards the stored quarantine against lost writes, and against writes after it was lifted. */
class PromptQuarantineStoreTest {
    private static final Suspect SUSPECT = new Suspect("s", Set.of("bad"));
    private static final String KEY = ServingKeys.promptQuarantinePrefix() + "s/bad";
    private static final PromptQuarantine.Entry FIRST = new PromptQuarantine.Entry(SUSPECT, 0, 10);
    private static final PromptQuarantine.Entry PROLONGED =
            new PromptQuarantine.Entry(SUSPECT, 10, 30);
    private static final long RETRIED_MS = 1_500;

    private final Vertx mVertx = Vertx.vertx();
    private final MemoryStore mStore = new MemoryStore();
    private final AtomicBoolean mInForce = new AtomicBoolean(true);
    private final PromptQuarantineStore mQuarantine =
            new PromptQuarantineStore(
                    mVertx,
                    new QuarantineStorage(ServingKeys.promptQuarantinePrefix(), mStore::commit),
                    entry -> {},
                    suspect -> {},
                    entry -> mInForce.get());

    @AfterEach
    void close() {
        mVertx.close();
    }

    private <T> T onLoop(Callable<Future<T>> task) throws Exception {
        Promise<T> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    try {
                        task.call().onComplete(done);
                    } catch (Exception e) {
                        done.fail(e);
                    }
                });
        return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void put(PromptQuarantine.Entry entry) throws Exception {
        onLoop(
                () -> {
                    mQuarantine.put(entry);
                    return Future.succeededFuture();
                });
    }

    /** Lets the store's changes reach the quarantine, as the mirror does. */
    private void deliverChanges() throws Exception {
        onLoop(
                () ->
                        mStore.watch(ServingKeys.CONTROL_PREFIX, 0, 0)
                                .onSuccess(
                                        (StoreChanges changes) ->
                                                mQuarantine.onChanges(changes, false)));
    }

    private long storedUntilMs() throws Exception {
        return onLoop(() -> mStore.list(KEY))
                .entries()
                .get(0)
                .text()
                .replaceAll(".*\"until_ms\":(\\d+).*", "$1")
                .transform(Long::parseLong);
    }

    @Test
    void anEntryIsWrittenAgainAfterAnotherHostWroteFirst() throws Exception {
        String older = "{\"service\":\"s\",\"parts\":[\"bad\"],\"since_ms\":0,\"until_ms\":10}";
        onLoop(() -> mStore.commit(new StoreTransaction().put(KEY, older)));
        put(PROLONGED);
        assertEquals(10, storedUntilMs());
        deliverChanges();
        Thread.sleep(RETRIED_MS);
        assertEquals(30, storedUntilMs());
    }

    @Test
    void anEntryThatWasLiftedIsNotWrittenAgain() throws Exception {
        onLoop(
                () -> {
                    mStore.injectFaults(MemoryStore.Fault.REFUSED);
                    return Future.succeededFuture();
                });
        put(FIRST);
        mInForce.set(false);
        Thread.sleep(RETRIED_MS);
        assertEquals(0, mStore.countKeys(KEY));
    }
}
