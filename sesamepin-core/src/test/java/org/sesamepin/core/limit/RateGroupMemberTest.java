package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.CustomerSpec;

/** Tests one host's part in a rate group of two holders: no token may be used twice. */
class RateGroupMemberTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double BURST = 24;
    private static final CustomerSpec CUSTOMER =
            new CustomerSpec("c", List.of(), null, 1e-6, BURST);

    private static RateGroupMember member(String self, boolean isNew) {
        RateGroupMember member = new RateGroupMember(self, 0, 0);
        member.setHolders(List.of("a", "b"), 0);
        member.putCustomer(CUSTOMER, isNew, 0);
        return member;
    }

    private static int admitted(RateGroupMember member, long now) {
        int admitted = 0;
        while (member.admit(CUSTOMER.name(), now).admitted()) {
            admitted++;
        }
        return admitted;
    }

    @Test
    void startingProcessHasHalfOfItsShareOfTheBurst() {
        assertEquals(BURST / 4, admitted(member("a", true), 0));
        assertEquals(0, admitted(member("a", false), 0));
    }

    /** Tokens that stayed at the holder could be used there and at the leader. */
    @Test
    void tokensMoveToTheLeaderWithTheFirstDelegationOnly() {
        RateGroupMember holder = member("b", true);
        ShareAnswer first = holder.onShareRequest("a", 1, 0);
        assertEquals(Map.of("c", BURST / 4), first.tokens());
        assertEquals(0, admitted(holder, 0));
        assertTrue(holder.onShareRequest("a", 2, 400 * MS).tokens().isEmpty());
        RateGroupMember leader = member("a", true);
        leader.onShareReply("b", 1, 0, first.fraction(), first.tokens(), MS);
        assertEquals(BURST / 2, admitted(leader, MS));
    }

    /** A leader that was paused must not use what its holders use again meanwhile. */
    @Test
    void tokensAboveTheShareAreCutWhenADelegationExpires() {
        RateGroupMember leader = member("a", true);
        leader.onShareReply("b", 1, 0, 0.5, Map.of("c", BURST), MS);
        assertEquals(1, leader.fraction(1_199 * MS));
        assertEquals(0.5, leader.fraction(1_200 * MS));
        assertEquals(BURST / 2, admitted(leader, 5_000 * MS));
    }

    @Test
    void lateReplyGivesNoShare() {
        RateGroupMember leader = member("a", true);
        leader.onShareReply("b", 1, 0, 0.5, Map.of(), 1_200 * MS);
        assertEquals(0.5, leader.fraction(1_200 * MS));
    }

    /** A reply to a request from before a handover must not restore the share. */
    @Test
    void stoppedLeaderHoldsNothing() {
        RateGroupMember leader = member("a", true);
        long sequence = leader.nextSequence();
        leader.onShareReply("b", sequence, 0, 0.5, Map.of(), MS);
        long late = leader.nextSequence();
        ShareHandover handover = leader.stop(2 * MS);
        assertEquals(List.of("b"), handover.released());
        assertEquals(BURST / 4, handover.tokens().getOrDefault("c", 0.0), 1e-6);
        leader.onShareReply("b", late, 2 * MS, 0.5, Map.of(), 3 * MS);
        assertEquals(0, leader.fraction(3 * MS));
        assertEquals(0, admitted(leader, 3 * MS));
    }

    /** The tokens arrive before the shares; cut at once, they would be lost at each stop. */
    @Test
    void tokensOfAStoppedLeaderCountAsTheSharesFollow() {
        RateGroupMember next = member("b", true);
        next.onShareRequest("a", 1, 0);
        next.onHandover("a", 2, Map.of("c", BURST), MS);
        assertEquals(BURST / 2, admitted(next, MS));
        next.onShareReply("a", next.nextSequence(), MS, 0.5, Map.of(), 2 * MS);
        assertEquals(BURST / 2, admitted(next, 2 * MS));
    }

    /** Two holders that both lead while they reach each other would divide the rate. */
    @Test
    void laterHolderLeadsOnlyWhileTheEarlierOneIsSilent() {
        RateGroupMember later = member("b", true);
        assertFalse(later.updateLeading(host -> true, 1_000 * MS));
        assertTrue(later.updateLeading(host -> true, 1_225 * MS));
        ShareAnswer answer = later.onShareRequest("a", 1, 1_300 * MS);
        assertTrue(answer.delegated());
        assertFalse(later.updateLeading(host -> false, 1_400 * MS));
        assertFalse(later.isLeading());
        assertTrue(later.updateLeading(host -> true, 2_600 * MS));
    }

    /** A request would wait without end, or be refused although a third holder answers. */
    @Test
    void atMostThreeHoldersAreAskedWithinTheTime() {
        AdmissionAttempt attempt = new AdmissionAttempt(List.of("a", "b", "c", "d"), 0, 0);
        assertEquals("a", attempt.host());
        attempt.onNoAnswer(150 * MS);
        assertEquals("b", attempt.host());
        attempt.onNoAnswer(300 * MS);
        assertEquals("c", attempt.host());
        assertEquals(100 * MS, attempt.timeoutNanos(300 * MS));
        attempt.onNoAnswer(400 * MS);
        assertEquals(null, attempt.host());
    }

    /** A wait of 400 ms would make every request of a fast route late. */
    @Test
    void recoveryIsAwaitedForAQuarterOfTheLatencyObjective() {
        AdmissionAttempt attempt = new AdmissionAttempt(List.of("a"), 800 * MS, 0);
        assertTrue(attempt.onRefusal(MS, true, 50 * MS));
        assertFalse(attempt.onRefusal(MS, true, 150 * MS));
        assertFalse(new AdmissionAttempt(List.of("a"), 0, 0).onRefusal(MS, false, 0));
    }

    /** Without a limit each refused request of an overloaded customer costs a message. */
    @Test
    void refusalHoldsUntilATokenMayBeDue() {
        RecentRefusals refusals = new RecentRefusals();
        refusals.record("c", 40 * MS, 0);
        assertEquals(20 * MS, refusals.remainingNanos("c", 0));
        assertEquals(0, refusals.remainingNanos("c", 20 * MS));
        refusals.record("c", 10_000 * MS, 0);
        assertEquals(80 * MS, refusals.remainingNanos("c", 0));
    }

    /** Each further time-out would cost the next request 150 ms again. */
    @Test
    void silentHolderIsAvoidedLongerEachTime() {
        HolderAvoidance avoidance = new HolderAvoidance();
        avoidance.recordNoAnswer("a", 0);
        avoidance.recordNoAnswer("a", 10 * MS);
        assertTrue(avoidance.isAvoided("a", 999 * MS));
        assertFalse(avoidance.isAvoided("a", 1_000 * MS));
        avoidance.recordNoAnswer("a", 1_000 * MS);
        assertTrue(avoidance.isAvoided("a", 2_999 * MS));
        avoidance.recordAnswer("a");
        assertFalse(avoidance.isAvoided("a", 2_000 * MS));
    }
}
