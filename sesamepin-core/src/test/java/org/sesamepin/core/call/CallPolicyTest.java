package org.sesamepin.core.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.call.CallPolicy.Next;
import org.sesamepin.core.serving.RouteKind;

/** What follows each event of a call, by kind of route. */
class CallPolicyTest {
    private static final long DEADLINE = 1_000;

    private static CallPolicy sent(RouteKind kind, int maxAttempts) {
        CallPolicy policy = new CallPolicy(kind, maxAttempts, DEADLINE);
        policy.sent();
        return policy;
    }

    @Test
    void idempotentCallGoesToAnotherTargetAfterABreak() {
        assertEquals(Next.SEND, sent(RouteKind.IDEMPOTENT, 2).broken(10));
    }

    @Test
    void callThatMayRunOnceFailsAfterABreak() {
        assertEquals(Next.FAIL, sent(RouteKind.AT_MOST_ONCE, 5).broken(10));
        assertEquals(Next.FAIL, sent(RouteKind.STREAM, 5).broken(10));
    }

    @Test
    void callThatMayRunOnceIsSentAgainAfterATargetRefusedIt() {
        CallPolicy policy = sent(RouteKind.AT_MOST_ONCE, 1);
        assertEquals(Next.SEND, policy.notExecuted(true, 10));
        assertFalse(policy.mayHaveRun());
        assertEquals(Next.REFUSE, policy.noTarget());
    }

    @Test
    void brokenStreamIsContinuedWhereItMayBe() {
        CallPolicy policy = sent(RouteKind.RESUMABLE_STREAM, 2);
        policy.passedOn();
        assertEquals(Next.RESUME, policy.broken(10));
        policy.sent();
        assertEquals(Next.BREAK_OFF, policy.broken(20));
    }

    @Test
    void brokenStreamThatCannotBeContinuedBreaksOff() {
        CallPolicy policy = sent(RouteKind.STREAM, 3);
        policy.passedOn();
        assertEquals(Next.BREAK_OFF, policy.broken(10));
    }

    @Test
    void timeUpIsNotRunOnlyWhenNothingWasSent() {
        assertEquals(Next.REFUSE, new CallPolicy(RouteKind.IDEMPOTENT, 1, DEADLINE).timedOut());
        assertEquals(Next.TIME_OUT, sent(RouteKind.IDEMPOTENT, 1).broken(DEADLINE));
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
        Next next = Next.SEND;
        while (next == Next.SEND || next == Next.RESUME) {
            assertEquals(passedOn, next == Next.RESUME, hint);
            now += random.nextInt(200);
            boolean connected = random.nextInt(4) > 0;
            if (connected) {
                policy.sent();
            }
            if (!connected || random.nextInt(3) == 0) {
                next = policy.notExecuted(connected, now);
                continue;
            }
            runs++;
            if (kind.isStreamed() && random.nextBoolean()) {
                policy.passedOn();
                passedOn = true;
            }
            next = random.nextInt(8) == 0 ? policy.timedOut() : policy.broken(now);
        }
        assertTrue(next != Next.REFUSE || runs == 0, hint);
        assertTrue(passedOn == (next == Next.BREAK_OFF), hint);
        assertTrue(runs <= (kind.mayRepeat() ? maxAttempts : 1), hint);
    }
}
