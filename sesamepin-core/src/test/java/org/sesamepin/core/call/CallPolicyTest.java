package org.sesamepin.core.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.call.CallPolicy.NextAction;
import org.sesamepin.core.serving.RouteKind;

/**
 * Guards the next action after each event of a call, by kind of route: a wrong action would run a
 * call more often than its route allows, or tell the caller "not run" although a target may have
 * run it.
 */
class CallPolicyTest {
    private static final long DEADLINE = 1_000;

    private static CallPolicy sentCall(RouteKind kind, int maxAttempts) {
        CallPolicy policy = new CallPolicy(kind, maxAttempts, DEADLINE);
        policy.recordSend();
        return policy;
    }

    @Test
    void sendsIdempotentCallToAnotherTargetAfterFailedAttempt() {
        assertEquals(NextAction.SEND, sentCall(RouteKind.IDEMPOTENT, 2).onAttemptFailed(10));
    }

    @Test
    void failsCallThatMayRunOnceAfterFailedAttempt() {
        assertEquals(NextAction.FAIL, sentCall(RouteKind.AT_MOST_ONCE, 5).onAttemptFailed(10));
        assertEquals(NextAction.FAIL, sentCall(RouteKind.STREAM, 5).onAttemptFailed(10));
    }

    @Test
    void sendsCallThatMayRunOnceAgainAfterTargetRefusedIt() {
        CallPolicy policy = sentCall(RouteKind.AT_MOST_ONCE, 1);
        assertEquals(NextAction.SEND, policy.onNotExecuted(true, 10));
        assertFalse(policy.mayHaveRun());
        assertEquals(NextAction.REFUSE, policy.onNoTarget());
    }

    @Test
    void resumesInterruptedStreamWithinMaxAttempts() {
        CallPolicy policy = sentCall(RouteKind.RESUMABLE_STREAM, 2);
        policy.recordForwarded();
        assertEquals(NextAction.RESUME, policy.onAttemptFailed(10));
        policy.recordSend();
        assertEquals(NextAction.BREAK_OFF, policy.onAttemptFailed(20));
    }

    /** A silent run is never ended for its silence alone, so that only this bounds further runs. */
    @Test
    void anotherRunIsPossibleOnlyWhileTheCallMayRepeatAndHasRunsLeft() {
        CallPolicy policy = sentCall(RouteKind.RESUMABLE_STREAM, 2);
        assertTrue(policy.mayRunAgain());
        policy.recordForwarded();
        assertTrue(policy.mayRunAgain());
        policy.recordSend();
        assertFalse(policy.mayRunAgain());
        policy.recordNotExecuted();
        assertTrue(policy.mayRunAgain());
        assertFalse(sentCall(RouteKind.STREAM, 2).mayRunAgain());
        assertFalse(sentCall(RouteKind.AT_MOST_ONCE, 2).mayRunAgain());
    }

    @Test
    void breaksOffInterruptedStreamThatIsNotResumable() {
        CallPolicy policy = sentCall(RouteKind.STREAM, 3);
        policy.recordForwarded();
        assertEquals(NextAction.BREAK_OFF, policy.onAttemptFailed(10));
    }

    @Test
    void timeoutIsNotRunOnlyWhenNothingWasSent() {
        assertEquals(
                NextAction.REFUSE, new CallPolicy(RouteKind.IDEMPOTENT, 1, DEADLINE).onTimeout());
        assertEquals(
                NextAction.TIME_OUT, sentCall(RouteKind.IDEMPOTENT, 1).onAttemptFailed(DEADLINE));
    }

    /** Random sequences of refusals, failed attempts and timeouts, for each kind of route. */
    @Test
    void neverReportsNotRunAfterARunAndNeverExceedsMaxAttempts() {
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            RouteKind kind = RouteKind.values()[random.nextInt(RouteKind.values().length)];
            int maxAttempts = 1 + random.nextInt(3);
            simulateCall(kind, maxAttempts, random, "seed " + seed + ' ' + kind);
        }
    }

    private static void simulateCall(
            RouteKind kind, int maxAttempts, Random random, String message) {
        CallPolicy policy = new CallPolicy(kind, maxAttempts, DEADLINE);
        int runs = 0;
        boolean forwarded = false;
        long now = 0;
        NextAction next = NextAction.SEND;
        while (next == NextAction.SEND || next == NextAction.RESUME) {
            assertEquals(forwarded, next == NextAction.RESUME, message);
            now += random.nextInt(200);
            boolean connected = random.nextInt(4) > 0;
            if (connected) {
                policy.recordSend();
            }
            if (!connected || random.nextInt(3) == 0) {
                next = policy.onNotExecuted(connected, now);
                continue;
            }
            runs++;
            if (kind.isStreamed() && random.nextBoolean()) {
                policy.recordForwarded();
                forwarded = true;
            }
            next = random.nextInt(8) == 0 ? policy.onTimeout() : policy.onAttemptFailed(now);
        }
        assertTrue(next != NextAction.REFUSE || runs == 0, message);
        assertTrue(forwarded == (next == NextAction.BREAK_OFF), message);
        assertTrue(runs <= (kind.mayRepeat() ? maxAttempts : 1), message);
    }
}
