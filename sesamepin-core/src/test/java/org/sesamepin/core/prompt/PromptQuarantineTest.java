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

    @Test
    void aProbeThatEndsATargetDoublesTheTime() {
        mQuarantine.add(mEntry);
        mQuarantine.startProbe(blocking(), "q1", TEN_MINUTES_MS);
        mQuarantine.prolongAfterEnd("s", BAD, TEN_MINUTES_MS);
        assertEquals(3 * TEN_MINUTES_MS, blocking().untilMs());
    }
}
