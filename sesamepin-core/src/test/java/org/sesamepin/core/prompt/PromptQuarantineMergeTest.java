package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays hosts that change one entry and learn the changes of the others in any order. */
class PromptQuarantineMergeTest {
    private static final long SEEDS = 200;
    private static final int HOSTS = 4;
    private static final int CHANGES = 12;
    private static final long MAX_STEP_MS = 3_000;

    /** Time within which all hosts identify the same part. */
    private static final long IDENTIFICATION_MS = TimeUnit.SECONDS.toMillis(2);

    /** The same, with clocks that differ by more than that. */
    private static final long WIDE_IDENTIFICATION_MS = TimeUnit.SECONDS.toMillis(8);

    private static final Suspect SUSPECT = new Suspect("s", Set.of("shared"));

    private final List<PromptQuarantine> mHosts = new ArrayList<>();
    private final List<PromptQuarantine.Entry> mChanges = new ArrayList<>();
    private long mNowMs;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private void play(Random random, long identificationMs) {
        for (int i = 0; i < HOSTS; i++) {
            PromptQuarantine host = new PromptQuarantine();
            long sinceMs = random.nextInt((int) identificationMs);
            change(host, PromptQuarantine.Entry.startingAt(SUSPECT, sinceMs));
            mHosts.add(host);
        }
        mNowMs = ProbeSchedule.OUTCOME_MS;
        for (int i = 0; i < CHANGES; i++) {
            mNowMs += random.nextInt((int) MAX_STEP_MS);
            PromptQuarantine host = mHosts.get(random.nextInt(HOSTS));
            change(host, changed(entryOf(host), random));
            // Some of the messages arrive at once.
            mHosts.get(random.nextInt(HOSTS)).add(mChanges.get(random.nextInt(mChanges.size())));
        }
    }

    private PromptQuarantine.Entry changed(PromptQuarantine.Entry entry, Random random) {
        return switch (random.nextInt(3)) {
            case 0 -> entry.withClaim(mNowMs);
            case 1 -> entry.withProbeSentTo("t" + random.nextInt(9));
            default -> entry.withFailedProbe(mNowMs);
        };
    }

    private void change(PromptQuarantine host, PromptQuarantine.Entry entry) {
        host.add(entry);
        mChanges.add(entryOf(host));
    }

    private static PromptQuarantine.Entry entryOf(PromptQuarantine host) {
        return Objects.requireNonNull(host.get(SUSPECT));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void twoEntriesSayTheSameInEitherOrder(long seed) {
        play(new Random(seed), IDENTIFICATION_MS);
        for (PromptQuarantine.Entry entry : mChanges) {
            assertEquals(entry, entry.mergedWith(entry));
            for (PromptQuarantine.Entry other : mChanges) {
                assertEquals(entry.mergedWith(other), other.mergedWith(entry));
            }
        }
    }

    /** Guards against hosts that wait for different times, since messages came out of order. */
    @ParameterizedTest
    @MethodSource("seeds")
    void allOrdersOfMessagesLeadToTheSameEntry(long seed) {
        Random random = new Random(seed);
        play(random, IDENTIFICATION_MS);
        Set<PromptQuarantine.Entry> entries = new HashSet<>();
        for (PromptQuarantine host : mHosts) {
            List<PromptQuarantine.Entry> messages = new ArrayList<>(mChanges);
            Collections.shuffle(messages, random);
            messages.forEach(host::add);
            entries.add(entryOf(host));
        }
        assertEquals(1, entries.size(), () -> entries.toString());
    }

    /** Guards against reports of peers that never agree. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hostsThatReportTheirEntriesAgree(long seed) {
        Random random = new Random(seed);
        play(random, WIDE_IDENTIFICATION_MS);
        Set<PromptQuarantine.Entry> entries = new HashSet<>();
        for (int round = 0; round < 2; round++) {
            for (PromptQuarantine host : mHosts) {
                mHosts.forEach(peer -> peer.add(entryOf(host)));
            }
        }
        mHosts.forEach(host -> entries.add(entryOf(host)));
        assertEquals(1, entries.size(), () -> entries.toString());
    }
}
