package org.sesamepin.core.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.call.CallPolicy.NextAction;
import org.sesamepin.core.serving.RouteKind;

/** What follows each event of a call, by kind of route. */
class CallPolicyTest {
    private static final long DEADLINE = 1_000;

    private static CallPolicy sent(RouteKind kind, int maxAttempts) {
        CallPolicy policy = new CallPolicy(kind, maxAttempts, DEADLINE);
        policy.recordSend();
        return policy;
    }

    @Test
    void idempotentCallGoesToAnotherTargetAfterABreak() {
        assertEquals(NextAction.SEND, sent(RouteKind.IDEMPOTENT, 2).onAttemptFailed(10));
    }

    @Test
    void callThatMayRunOnceFailsAfterABreak() {
        assertEquals(NextAction.FAIL, sent(RouteKind.AT_MOST_ONCE, 5).onAttemptFailed(10));
        assertEquals(NextAction.FAIL, sent(RouteKind.STREAM, 5).onAttemptFailed(10));
    }

    @Test
    void callThatMayRunOnceIsSentAgainAfterATargetRefusedIt() {
        CallPolicy policy = sent(RouteKind.AT_MOST_ONCE, 1);
        assertEquals(NextAction.SEND, policy.onNotExecuted(true, 10));
        assertFalse(policy.mayHaveRun());
        assertEquals(NextAction.REFUSE, policy.onNoTarget());
    }

    @Test
    void brokenStreamIsContinuedWhereItMayBe() {
        CallPolicy policy = sent(RouteKind.RESUMABLE_STREAM, 2);
        policy.recordForwarded();
        assertEquals(NextAction.RESUME, policy.onAttemptFailed(10));
        policy.recordSend();
        assertEquals(NextAction.BREAK_OFF, policy.onAttemptFailed(20));
    }

    @Test
    void brokenStreamThatCannotBeContinuedBreaksOff() {
        CallPolicy policy = sent(RouteKind.STREAM, 3);
        policy.recordForwarded();
        assertEquals(NextAction.BREAK_OFF, policy.onAttemptFailed(10));
    }

    @Test
    void timeUpIsNotRunOnlyWhenNothingWasSent() {
        assertEquals(
                NextAction.REFUSE, new CallPolicy(RouteKind.IDEMPOTENT, 1, DEADLINE).onTimeout());
        assertEquals(NextAction.TIME_OUT, sent(RouteKind.IDEMPOTENT, 1).onAttemptFailed(DEADLINE));
    }

    /** Every order of refusals, breaks and lateness, for each kind of route. */
    @Test
    void refusalIsAlwaysTrueAndRunsStayWithinTheirLimit() {
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            RouteKind kind = RouteKind.values()[random.nextInt(RouteKind.values().length)];
            int maxAttempts = 1 + random.nextInt(3);
            play(kind, maxAttempts, random, "seed " + seed + ' ' + kind);
        }
    }

    private static void play(RouteKind kind, int maxAttempts, Random random, String hint) {
        CallPolicy policy = new CallPolicy(kind, maxAttempts, DEADLINE);
        int runs = 0;
        boolean passedOn = false;
        long now = 0;
        NextAction next = NextAction.SEND;
        while (next == NextAction.SEND || next == NextAction.RESUME) {
            assertEquals(passedOn, next == NextAction.RESUME, hint);
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
                passedOn = true;
            }
            next = random.nextInt(8) == 0 ? policy.onTimeout() : policy.onAttemptFailed(now);
        }
        assertTrue(next != NextAction.REFUSE || runs == 0, hint);
        assertTrue(passedOn == (next == NextAction.BREAK_OFF), hint);
        assertTrue(runs <= (kind.mayRepeat() ? maxAttempts : 1), hint);
    }
}
