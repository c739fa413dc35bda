package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays random histories of hosts that hold items back; see {@link QuarantineHistory}. */
class QuarantineHistoryTest {
    private static final long SEEDS = Long.getLong("quarantine.seeds", 200);
    private static final long BAD_WORK_SEEDS = Long.getLong("quarantine.seeds", 50);

    /** Time after the last disturbance in which items are sent, so that they end within 18 s. */
    private static final long SENT_WITHIN_MS = TimeUnit.SECONDS.toMillis(17);

    /** Time after the end of another target in which it may explain the end under a probe. */
    private static final long OUTAGE_MS = TimeUnit.SECONDS.toMillis(3);

    private static final int MAX_PROBES = 3;
    private static final long BOUND_WINDOW_MS = TimeUnit.SECONDS.toMillis(90);
    private static final int TARGETS = 8;
    private static final int FEW_TARGETS = 2;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static LongStream badWorkSeeds() {
        return LongStream.rangeClosed(1, BAD_WORK_SEEDS);
    }

    private static QuarantineHistory play(long seed, QuarantineHistory.Work work, int targets) {
        QuarantineHistory history = new QuarantineHistory(seed, work, targets);
        history.play();
        return history;
    }

    private static void assertSoundItemsAreSentInTime(QuarantineHistory history) {
        List<String> late = new ArrayList<>();
        for (VirtualItem item : history.fleet().items()) {
            long dueMs = Math.max(QuarantineHistory.DISTURBED_MS, item.acceptedMs());
            boolean isLate = !item.isDone() || item.doneRunMs() > dueMs + SENT_WITHIN_MS;
            if (!item.isBad() && isLate) {
                late.add(
                        "%s accepted at %d ms, sent at %d ms"
                                .formatted(
                                        item.prompt().label(),
                                        item.acceptedMs(),
                                        item.doneRunMs()));
            }
        }
        assertEquals(List.of(), late, () -> history.fleet().hosts().toString());
    }

    private static void assertBadWorkEndsFewTargets(QuarantineHistory history) {
        for (Suspect cause : history.badCauses()) {
            long heldMs = history.fleet().heldSinceMs(cause);
            assertTrue(heldMs >= 0, () -> cause.label() + " was never held at all hosts");
            long fromMs = Math.max(QuarantineHistory.DISTURBED_MS + OUTAGE_MS, heldMs);
            List<Long> sentMs =
                    history.fleet().sent().stream()
                            .filter(s -> cause.matches(VirtualFleet.SERVICE, s.item().prompt()))
                            .map(VirtualFleet.Sent::atMs)
                            .filter(at -> at > fromMs)
                            .toList();
            for (long from : sentMs) {
                long untilMs = from + BOUND_WINDOW_MS;
                long sent = sentMs.stream().filter(at -> at >= from && at < untilMs).count();
                assertTrue(sent <= MAX_PROBES, () -> cause.label() + " sent at " + sentMs);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsOfSeveralHeldPartsAreSentInTime(long seed) {
        assertSoundItemsAreSentInTime(play(seed, QuarantineHistory.Work.SOUND, TARGETS));
    }

    @ParameterizedTest
    @MethodSource("badWorkSeeds")
    void aBadItemAmongSoundOnesEndsFewTargets(long seed) {
        assertBadWorkEndsFewTargets(play(seed, QuarantineHistory.Work.BAD_ITEM, TARGETS));
    }

    @ParameterizedTest
    @MethodSource("badWorkSeeds")
    void aBadPartAmongSoundOnesEndsFewTargets(long seed) {
        assertBadWorkEndsFewTargets(play(seed, QuarantineHistory.Work.BAD_PART, TARGETS));
    }

    @ParameterizedTest
    @MethodSource("badWorkSeeds")
    void aBadPartOfItemsWithASoundOneEndsFewTargets(long seed) {
        assertBadWorkEndsFewTargets(play(seed, QuarantineHistory.Work.BAD_PART_IN_PAIRS, TARGETS));
    }

    /** Guards against 90 s of wait after three ends of single targets under probes. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsAreSentInTimeToFewTargets(long seed) {
        assertSoundItemsAreSentInTime(play(seed, QuarantineHistory.Work.SOUND, FEW_TARGETS));
    }

    /** Guards against probes that fail since a bad item runs at the same target. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsAreSentInTimeBesideABadItem(long seed) {
        assertSoundItemsAreSentInTime(play(seed, QuarantineHistory.Work.BAD_ITEM, TARGETS));
    }

    /** Guards against probes that fail since a probe of a bad part runs at the same target. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsAreSentInTimeBesideABadPart(long seed) {
        assertSoundItemsAreSentInTime(play(seed, QuarantineHistory.Work.BAD_PART, TARGETS));
    }

    /** Guards against a sound part that counts as bad with another part of the same items. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsAreSentInTimeBesideItemsWithABadPartToo(long seed) {
        assertSoundItemsAreSentInTime(
                play(seed, QuarantineHistory.Work.BAD_PART_IN_PAIRS, TARGETS));
    }
}
