package org.sesamepin.node.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.node.job.MemoryStore;

/** Plays probes of two hosts that share a store and targets, on a clock that the test moves. */
class ItemProberTest {
    private static final long OUTCOME_MS = 4_000;
    private static final long FAILED_WAIT_MS = 8_000;
    private static final long LOST_ITEM_WAIT_MS = 1_500;
    private static final long MAX_SEND_DELAY_MS = 2_000;

    /** Time in which the outcome of a probe is judged. */
    private static final long JUDGED_MS = 400;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final MemoryStore mStore = new MemoryStore();
    private final Map<String, LostTarget> mRegistered = new LinkedHashMap<>();
    private final Set<String> mRefusing = new HashSet<>();
    private final ProberHost mFirst = newHost();
    private final ProberHost mSecond = newHost();
    private long mNowNanos;

    private final class Targets implements ServiceTargets {
        @Override
        public List<LostTarget> readyTargets(String service) {
            return List.copyOf(mRegistered.values());
        }

        @Override
        public @Nullable LostTarget find(String target) {
            return mRegistered.get(target);
        }
    }

    @BeforeEach
    void start() throws Exception {
        for (String id : List.of("t1", "t2", "t3")) {
            InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
            mRegistered.put(id, new LostTarget(ProberHost.SERVICE, id, address));
        }
        onLoop(
                () -> {
                    mFirst.addPeer(mSecond);
                    mSecond.addPeer(mFirst);
                    mFirst.identify(ProberHost.SUSPECT);
                });
        advance(OUTCOME_MS);
    }

    private ProberHost newHost() {
        return new ProberHost(
                mVertx,
                () -> mNowNanos,
                mStore,
                new Targets(),
                target -> Future.succeededFuture(mRefusing.contains(target.id())));
    }

    @AfterEach
    void close() {
        mVertx.close();
    }

    private void onLoop(Runnable task) throws Exception {
        get(
                () -> {
                    task.run();
                    return true;
                });
    }

    private <T> T get(Callable<T> task) throws Exception {
        Promise<T> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    try {
                        done.complete(task.call());
                    } catch (Exception e) {
                        done.fail(e);
                    }
                });
        return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void advance(long ms) throws Exception {
        onLoop(() -> mNowNanos += TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private boolean claims(ProberHost host, String item) throws Exception {
        return get(() -> host.claim(item));
    }

    private int claims(ProberHost host) throws Exception {
        return get(() -> host.entry().probeClaims());
    }

    private int failures(ProberHost host) throws Exception {
        return get(() -> host.entry().failedProbes());
    }

    /** Sends an item of the first host as a probe to the first target. */
    private void sendProbe() throws Exception {
        assertTrue(claims(mFirst, "i1"));
        onLoop(() -> mFirst.recordSent("i1", "t1"));
    }

    /** Ends a target; its registration lapses later. */
    private LostTarget end(String target) {
        mRefusing.add(target);
        return Objects.requireNonNull(mRegistered.get(target));
    }

    private void endProbedTarget() throws Exception {
        onLoop(() -> mFirst.recordEnd("i1", end("t1")));
        Thread.sleep(JUDGED_MS);
        onLoop(this::lapse);
    }

    private void lapse() {
        mRegistered.keySet().removeAll(mRefusing);
    }

    /** Guards against a fleet that waits for a probe which no slot was found for. */
    @Test
    void aProbeThatIsNotSentLosesItsClaimToAnotherHost() throws Exception {
        assertTrue(claims(mFirst, "i1"));
        advance(MAX_SEND_DELAY_MS + 1);
        assertFalse(get(() -> mFirst.mayBeSent("i1")));
        assertFalse(claims(mSecond, "i2"));
        advance(OUTCOME_MS - MAX_SEND_DELAY_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    @Test
    void oneOfTwoHostsThatClaimAtOnceMaySend() throws Exception {
        boolean[] owned = new boolean[2];
        onLoop(
                () -> {
                    owned[0] = mFirst.claim("i1");
                    owned[1] = mSecond.claim("i2");
                });
        assertTrue(owned[0]);
        assertFalse(owned[1]);
        assertEquals(1, claims(mSecond));
    }

    /** Guards against two probes at a time, of which one host does not know that it may send. */
    @Test
    void aProbeWhoseClaimIsUnknownIsNotSent() throws Exception {
        onLoop(() -> mStore.injectFaults(MemoryStore.Fault.ANSWER_LOST));
        assertFalse(claims(mFirst, "i1"));
        assertEquals(1, claims(mFirst));
        assertFalse(claims(mSecond, "i2"));
        advance(OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(2, claims(mFirst));
    }

    @Test
    void aClaimThatTheStoreDidNotTakeIsMadeAgainAtOnce() throws Exception {
        onLoop(() -> mStore.injectFaults(MemoryStore.Fault.REFUSED));
        assertFalse(claims(mFirst, "i1"));
        assertTrue(claims(mSecond, "i2"));
    }

    @Test
    void aClaimThatTheStoreTakesLateDoesNotReplaceALaterOne() throws Exception {
        onLoop(() -> mStore.injectFaults(MemoryStore.Fault.LATE));
        assertFalse(claims(mFirst, "i1"));
        assertTrue(claims(mSecond, "i2"));
        onLoop(mStore::applyLateWrites);
        assertFalse(get(() -> mFirst.mayBeSent("i1")));
        assertTrue(get(() -> mSecond.mayBeSent("i2")));
    }

    @Test
    void aProbeUnderWhichItsTargetEndedAloneHasFailed() throws Exception {
        sendProbe();
        endProbedTarget();
        assertEquals(1, failures(mFirst));
        assertEquals(1, failures(mSecond));
        advance(FAILED_WAIT_MS - 1);
        assertFalse(claims(mSecond, "i2"));
        advance(1);
        assertFalse(claims(mFirst, "i1"), "the item under which the target ended waits longer");
        assertTrue(claims(mSecond, "i2"));
    }

    @Test
    void theItemOfAFailedProbeIsClaimedAgainWhenThereIsNoOther() throws Exception {
        sendProbe();
        endProbedTarget();
        advance(FAILED_WAIT_MS + LOST_ITEM_WAIT_MS);
        assertTrue(claims(mFirst, "i1"));
    }

    /** Guards against a wait that grows with an outage, during which nothing else ran. */
    @Test
    void aProbeLostInAnOutageOfIdleTargetsHasNotFailed() throws Exception {
        sendProbe();
        onLoop(() -> end("t3"));
        endProbedTarget();
        assertEquals(0, failures(mFirst));
        advance(OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    @Test
    void aProbeLostWithTargetsOfOtherRequestsHasNotFailed() throws Exception {
        sendProbe();
        PromptParts other = new PromptParts(List.of("other"));
        onLoop(() -> mSecond.recordEnd(other, end("t3")));
        endProbedTarget();
        assertEquals(0, failures(mFirst));
        advance(OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    /** Guards against work that ends its targets with the hosts that send it. */
    @Test
    void aProbeWhoseHostAndTargetEndedHasFailed() throws Exception {
        sendProbe();
        onLoop(
                () -> {
                    mFirst.end();
                    end("t1");
                    lapse();
                });
        advance(OUTCOME_MS);
        assertFalse(claims(mSecond, "i2"));
        assertEquals(1, failures(mSecond));
    }

    /** Guards against a wait that starts anew when a failure is found late. */
    @Test
    void theWaitAfterAFailureThatIsFoundLateBeginsWithItsClaim() throws Exception {
        sendProbe();
        onLoop(
                () -> {
                    mFirst.end();
                    end("t1");
                    lapse();
                });
        advance(OUTCOME_MS);
        assertFalse(claims(mSecond, "i2"));
        advance(FAILED_WAIT_MS - OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
    }

    /** Guards against a wait for a target that ends after a preempted probe has left it. */
    @Test
    void aPreemptedProbeWhoseTargetEndsLaterHasNotFailed() throws Exception {
        sendProbe();
        onLoop(
                () -> {
                    mFirst.recordRunOver("i1", "t1");
                    end("t1");
                    lapse();
                });
        advance(OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    @Test
    void aProbeWhoseHostEndedAloneHasNotFailed() throws Exception {
        sendProbe();
        onLoop(mFirst::end);
        advance(OUTCOME_MS);
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    /** Guards against a target that was replaced long after it ran a probe. */
    @Test
    void theEndOfATargetLongAfterItsProbeIsNoFailure() throws Exception {
        sendProbe();
        onLoop(
                () -> {
                    end("t1");
                    lapse();
                });
        advance(TimeUnit.SECONDS.toMillis(30));
        assertTrue(claims(mSecond, "i2"));
        assertEquals(0, failures(mSecond));
    }

    /** Guards against a host that blames a probe for an outage before its start. */
    @Test
    void aHostThatStartsAfterAProbeDoesNotJudgeIt() throws Exception {
        sendProbe();
        ProberHost started =
                get(
                        () -> {
                            ProberHost host = newHost();
                            mFirst.addPeer(host);
                            mFirst.recordSent("i1", "t1");
                            mFirst.end();
                            mSecond.end();
                            end("t1");
                            lapse();
                            return host;
                        });
        advance(OUTCOME_MS);
        assertTrue(claims(started, "i3"));
        assertEquals(0, failures(started));
    }

    /** Guards against a sound part that counts as bad with another part of the same items. */
    @Test
    void anItemThatTwoPartsHoldBackLeavesTheProbeToItemsOfOne() throws Exception {
        onLoop(() -> mFirst.identify(new Suspect(ProberHost.SERVICE, Set.of("bad"))));
        advance(OUTCOME_MS);
        onLoop(() -> mFirst.claimWithPart("i1", "bad"));
        assertEquals(0, claims(mFirst));
        assertTrue(claims(mSecond, "i2"));
        advance(OUTCOME_MS + LOST_ITEM_WAIT_MS);
        onLoop(() -> mFirst.claimWithPart("i1", "bad"));
        assertEquals(2, claims(mFirst));
    }
}
