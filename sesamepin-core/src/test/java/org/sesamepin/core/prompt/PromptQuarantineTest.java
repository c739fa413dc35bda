package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards the life of a quarantine: it must end after a good probe, and only after one. */
class PromptQuarantineTest {
    private static final Suspect SUSPECT = new Suspect("s", Set.of("bad"));
    private static final PromptParts BAD = new PromptParts(List.of("first", "bad"));
    private static final long TEN_MINUTES_MS = TimeUnit.MINUTES.toMillis(10);

    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final PromptQuarantine.Entry mEntry = PromptQuarantine.Entry.startingAt(SUSPECT, 0);

    private PromptQuarantine.Entry blocking() {
        return Objects.requireNonNull(mQuarantine.blocking("s", BAD));
    }

    @Test
    void blocksOnlyPromptsWithAllPartsAtItsService() {
        mQuarantine.add(mEntry);
        assertNotNull(mQuarantine.blocking("s", BAD));
        assertNull(mQuarantine.blocking("other", BAD));
        assertNull(mQuarantine.blocking("s", new PromptParts(List.of("first"))));
    }

    @Test
    void aSingleProbeIsSentAfterItsTime() {
        mQuarantine.add(mEntry);
        assertFalse(mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS - 1));
        assertTrue(mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS));
        assertTrue(mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS + 1));
        assertFalse(mQuarantine.startProbe(blocking(), "q2", TEN_MINUTES_MS + 1));
    }

    @Test
    void anAnswerWithoutAProbeLiftsNothing() {
        mQuarantine.add(mEntry);
        assertNull(mQuarantine.liftedBySuccess("s", BAD));
    }

    @Test
    void aGoodProbeLiftsAndAStaleReportDoesNotBringItBack() {
        mQuarantine.add(mEntry);
        mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS);
        assertNotNull(mQuarantine.liftedBySuccess("s", BAD));
        assertTrue(mQuarantine.lift(SUSPECT));
        assertFalse(mQuarantine.add(mEntry));
        assertNull(mQuarantine.blocking("s", BAD));
    }

    /** Guards against a part that ends targets for ever, since a host's clock went back. */
    @Test
    void aPartThatEndsTargetsAfterALiftIsHeldBackByAHostWithASlowClock() {
        mQuarantine.add(PromptQuarantine.Entry.startingAt(SUSPECT, TEN_MINUTES_MS));
        mQuarantine.lift(SUSPECT);
        assertTrue(mQuarantine.add(mQuarantine.newEntry(SUSPECT, 0)));
        assertNotNull(mQuarantine.blocking("s", BAD));
    }

    @Test
    void aPartThatIsIdentifiedAgainAfterItsLiftIsProbedLater() {
        long firstMs = mQuarantine.newEntry(SUSPECT, 0).nextProbeMs();
        mQuarantine.add(mEntry);
        assertFalse(mQuarantine.wasLifted(SUSPECT));
        mQuarantine.lift(SUSPECT);
        assertTrue(mQuarantine.wasLifted(SUSPECT));
        PromptQuarantine.Entry again = mQuarantine.newEntry(SUSPECT, TEN_MINUTES_MS);
        assertTrue(again.nextProbeMs() - TEN_MINUTES_MS >= 2 * firstMs);
    }

    @Test
    void aProbeThatEndsATargetDoublesTheTime() {
        mQuarantine.add(mEntry);
        mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS);
        mQuarantine.prolongAfterEnd("s", BAD, TEN_MINUTES_MS);
        assertEquals(3 * TEN_MINUTES_MS, blocking().untilMs());
    }

    /** Guards against an owed item that waits since targets ended under it by chance. */
    @Test
    void noEntryHoldsASingleItemBack() {
        PromptParts item = new PromptParts(List.of("first")).withItem("i");
        for (Set<String> parts : List.of(Set.of("item:i"), Set.of("item:i", "first"))) {
            Suspect suspect = new Suspect("s", parts);
            assertFalse(mQuarantine.add(PromptQuarantine.Entry.startingAt(suspect, 0)));
            assertNull(mQuarantine.blocking("s", item));
        }
    }

    /** Guards against items that wait for longer than they have, whatever failed before. */
    @Test
    void noNumberOfFailedProbesLengthensTheWaitOfItems() {
        PromptQuarantine.Entry entry = mEntry;
        for (int failures = 1; failures <= 20; failures++) {
            entry = entry.withClaim(0).withFailedProbe(0);
            assertEquals(ProbeSchedule.MAX_WAIT_MS, entry.nextProbeMs());
        }
    }

    /** A caller must not pass off a part of its prompt as an item, which is probed more often. */
    @Test
    void partsThatCallersNameAreNoItems() {
        PromptParts parts = PromptParts.ofCallerIds(List.of("item:i"));
        assertFalse(new Suspect("s", Set.copyOf(parts.shared())).isSingleItem());
    }
}
