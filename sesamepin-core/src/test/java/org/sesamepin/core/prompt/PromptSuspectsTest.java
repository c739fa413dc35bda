package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays loads in which targets end, and checks which prompts are kept from the targets. */
class PromptSuspectsTest {
    private static final int HOSTS = 12;
    private static final int TARGETS = 20;
    private static final int SUBJECTS = 40;
    private static final long PLAYED_MS = 20_000;
    private static final long LEARNING_WINDOW_MS = 3_000;
    private static final int MAX_LATE_SENDS = 3;
    private static final int SEEDS = 12;

    /** Sends sound requests of a few shared and many rare parts. */
    private static void sendSound(PromptLoad load) {
        if (load.draw(0.6)) {
            load.send("first", "subject" + load.draw(SUBJECTS));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"first,bad", "bad,subject1", "bad"})
    void aBadPartIsFoundAndSoundRequestsPass(String parts) {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = new PromptLoad(seed, HOSTS, TARGETS, Set.of("bad"));
            load.cutOff(3);
            for (long ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
                sendSound(load);
                if (ms > 2_000 && load.draw(0.05)) {
                    load.send(parts.split(","));
                }
                load.step();
            }
            assertTrue(load.badSendsAfterEnd(5, LEARNING_WINDOW_MS) <= MAX_LATE_SENDS);
            assertTrue(load.quarantined().contains("bad"), "seed " + seed + load.quarantined());
            assertEquals(0, load.soundBlocked(), "seed " + seed + load.quarantined());
        }
    }

    @Test
    void twoBadPartsAtOnceAreBothFound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = new PromptLoad(seed, HOSTS, TARGETS, Set.of("bad1", "bad2"));
            for (long ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
                sendSound(load);
                if (ms > 2_000 && load.draw(0.05)) {
                    load.send("first", load.draw(0.5) ? "bad1" : "bad2");
                }
                load.step();
            }
            assertEquals(Set.of("bad1", "bad2"), load.quarantined(), "seed " + seed);
            assertEquals(0, load.soundBlocked());
        }
    }

    @Test
    void endsOfAnotherCauseBlockNoPrompt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = new PromptLoad(seed, HOSTS, TARGETS, Set.of());
            for (long ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
                sendSound(load);
                load.step();
                if (load.draw(0.02)) {
                    load.end(load.randomTarget());
                }
                if (load.draw(0.001)) {
                    List.of(1, 2, 3, 4, 5).forEach(n -> load.end(load.randomTarget()));
                }
            }
            assertTrue(load.ends() > 20);
            assertEquals(Set.of(), load.quarantined(), "seed " + seed);
        }
    }

    /** Plays items that share a part and are preempted before they are done. */
    private static PromptLoad playItemsInAFlood(int seed, Set<String> badParts) {
        PromptLoad load = new PromptLoad(seed, HOSTS, TARGETS, badParts);
        for (long ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
            sendSound(load);
            if (load.draw(0.1)) {
                load.sendItem("shared");
            }
            if (load.draw(0.2)) {
                load.preemptItems(load.randomTarget());
            }
            load.step();
            if (badParts.isEmpty() && ms % 2_000 == 0) {
                List.of(1, 2, 3, 4).forEach(n -> load.end(load.randomTarget()));
            }
        }
        return load;
    }

    /**
     * Guards against items that wait, since nothing but the ends of targets spoke of their part.
     */
    @Test
    void endsOfAnotherCauseBlockNoPartOfItemsThatArePreempted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = playItemsInAFlood(seed, Set.of());
            assertTrue(load.ends() > 20);
            assertEquals(Set.of(), load.quarantined(), "seed " + seed);
        }
    }

    @Test
    void aBadPartOfItemsThatArePreemptedIsFound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = playItemsInAFlood(seed, Set.of("shared"));
            assertEquals(Set.of("shared"), load.quarantined(), "seed " + seed);
            assertTrue(load.badSendsAfterEnd(5, LEARNING_WINDOW_MS) <= MAX_LATE_SENDS);
        }
    }

    @Test
    void aPartThatOnlyCameWithTheBadOnePassesWithoutIt() {
        PromptLoad load = new PromptLoad(1, HOSTS, TARGETS, Set.of("bad"));
        for (long ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
            sendSound(load);
            if (ms < 10_000 && load.draw(0.05)) {
                load.send("bad", "companion");
            }
            if (ms > 10_000 && load.draw(0.05)) {
                load.send("first", "companion");
            }
            load.step();
            if (ms == 9_000) {
                assertEquals(Set.of("bad+companion"), load.quarantined());
            }
        }
        assertEquals(Set.of("bad", "bad+companion"), load.quarantined());
        assertEquals(0, load.soundBlocked());
    }

    /** Sends requests of a content of their own each, and a common one now and then. */
    private static void sendContents(PromptLoad load, int n) {
        if (load.draw(0.3)) {
            load.send("first", PromptParts.WHOLE_PREFIX + n);
        }
        if (load.draw(0.05)) {
            load.send(PromptParts.WHOLE_PREFIX + "health");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, TARGETS})
    void aBadContentIsHeldBackAfterThreeEndsAndNothingElseIs(int targets) {
        String bad = PromptParts.WHOLE_PREFIX + "bad";
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = new PromptLoad(seed, HOSTS, targets, Set.of(bad));
            load.cutOff(3);
            for (int ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
                sendContents(load, ms);
                if (ms > 2_000 && load.draw(0.05)) {
                    load.send("first", bad);
                }
                load.step();
            }
            assertTrue(load.badSendsAfterEnd(3, LEARNING_WINDOW_MS) <= MAX_LATE_SENDS);
            assertEquals(Set.of(bad), load.quarantined(), "seed " + seed);
            assertEquals(0, load.soundBlocked());
        }
    }

    @Test
    void endsOfAnotherCauseHoldBackNoContentHoweverCommon() {
        for (int seed = 0; seed < SEEDS; seed++) {
            PromptLoad load = new PromptLoad(seed, HOSTS, TARGETS, Set.of());
            for (int ms = 0; ms < PLAYED_MS; ms += PromptLoad.STEP_MS) {
                sendContents(load, ms);
                load.step();
                if (load.draw(0.002)) {
                    List.of(1, 2, 3, 4, 5).forEach(n -> load.end(load.randomTarget()));
                }
            }
            assertTrue(load.ends() > 10);
            assertEquals(Set.of(), load.quarantined(), "seed " + seed);
        }
    }

    private static TargetEnd endUnderItems(String target, String... items) {
        List<TargetEnd.Run> runs = new ArrayList<>();
        for (String item : items) {
            PromptParts prompt = new PromptParts(List.of("shared")).withItem(item);
            runs.add(TargetEnd.Run.afterEvents(prompt, 0));
        }
        return new TargetEnd("s", target, runs);
    }

    /** Guards against an owed item that is held, or whose part is, since targets end under it. */
    @Test
    void endsThatMeetOneItemAccuseNeitherItNorItsPart() {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        long second = TimeUnit.SECONDS.toNanos(1);
        for (int end = 1; end <= 20; end++) {
            suspects.recordSuccess("s", new PromptParts(List.of("other")), end * second);
            suspects.recordEnd(endUnderItems("t" + end, "i", "j" + end), end * second);
            assertEquals(Set.of(), suspects.findCauses((end + 1) * second, suspect -> false));
        }
    }

    /** Guards against a part that ends targets, but is never found among items. */
    @Test
    void endsThatMeetDifferentItemsAccuseTheirPart() {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        long second = TimeUnit.SECONDS.toNanos(1);
        for (int answer = 0; answer < 100; answer++) {
            suspects.recordSuccess("s", new PromptParts(List.of("other")), 0);
        }
        for (int end = 1; end <= 3; end++) {
            suspects.recordEnd(endUnderItems("t" + end, "i" + end % 2), end * second);
        }
        assertEquals(
                Set.of(new Suspect("s", Set.of("shared"))),
                suspects.findCauses(4 * second, suspect -> false));
    }

    @Test
    void twoContentsAtTheSameThreeEndsAreNotToldApartBeforeTheFourth() {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        TargetEnd.Run bad = runOf("bad");
        TargetEnd.Run sound = runOf("sound");
        for (int end = 1; end <= 3; end++) {
            suspects.recordEnd(new TargetEnd("s", "t" + end, List.of(bad, sound)), end);
        }
        long later = TimeUnit.SECONDS.toNanos(1);
        assertEquals(Set.of(), suspects.findCauses(later, suspect -> false));
        suspects.recordEnd(new TargetEnd("s", "t4", List.of(bad)), later);
        assertEquals(
                Set.of(new Suspect("s", Set.of(PromptParts.WHOLE_PREFIX + "bad"))),
                suspects.findCauses(2 * later, suspect -> false));
    }

    private static TargetEnd.Run runOf(String content) {
        return TargetEnd.Run.afterEvents(
                new PromptParts(List.of(PromptParts.WHOLE_PREFIX + content)), 10);
    }

    @Test
    void contentsOfOtherCustomersPathsAndBodiesDiffer() {
        byte[] body = {1, 2};
        Set<PromptParts> contents =
                Set.of(
                        PromptParts.NONE.withContent("a", "/x", body),
                        PromptParts.NONE.withContent("b", "/x", body),
                        PromptParts.NONE.withContent("a", "/x?y", body),
                        PromptParts.NONE.withContent("a/x", "", body),
                        PromptParts.NONE.withContent("a", "/x", new byte[] {1}));
        assertEquals(5, contents.size());
        assertTrue(contents.contains(PromptParts.NONE.withContent("a", "/x", body.clone())));
    }

    @Test
    void aReviewOfManyDifferentPartsIsQuick() {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        for (int end = 0; end < 64; end++) {
            List<TargetEnd.Run> runs = new ArrayList<>();
            for (int run = 0; run < 64; run++) {
                String prefix = "e" + end + "r" + run + "p";
                List<String> parts = IntStream.range(0, 16).mapToObj(i -> prefix + i).toList();
                runs.add(TargetEnd.Run.afterEvents(new PromptParts(parts), 0));
            }
            suspects.recordEnd(new TargetEnd("s", "t" + end, runs), 0);
        }
        assertTimeout(
                Duration.ofSeconds(1),
                () -> suspects.findCauses(TimeUnit.SECONDS.toNanos(1), suspect -> false));
    }

    @Test
    void memoryIsBoundedForAnyNumberOfParts() {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        for (int i = 0; i < 200_000; i++) {
            PromptParts prompt = new PromptParts(List.of("p" + i));
            suspects.recordSuccess("s", prompt, i);
            TargetEnd.Run run = TargetEnd.Run.afterEvents(prompt, 0);
            suspects.recordEnd(new TargetEnd("s", "t" + i, List.of(run)), i);
            suspects.recordPeerSuccesses("h", "s", "p" + i, 1);
        }
        long later = TimeUnit.SECONDS.toNanos(1);
        assertEquals(Set.of(), suspects.findCauses(later, suspect -> false));
        assertTrue(suspects.successesToReport().size() <= 64);
    }

    /** Records the ends of three engines, one each second, which two hosts report. */
    private static PromptSuspects endsOfNamedTargets(PromptParts prompt, long reportDelayMs) {
        PromptSuspects suspects = new PromptSuspects(PromptSuspects.TargetIdentity.NAME, 0);
        for (int second = 1; second <= 3; second++) {
            TargetEnd end =
                    new TargetEnd("s", "engine", List.of(TargetEnd.Run.afterEvents(prompt, 0)));
            suspects.recordEnd(end, TimeUnit.SECONDS.toNanos(second));
            suspects.recordEnd(end, TimeUnit.MILLISECONDS.toNanos(second * 1_000 + reportDelayMs));
        }
        return suspects;
    }

    @Test
    void aTargetKnownByNameCountsForEachOfItsEnds() {
        PromptSuspects suspects = endsOfNamedTargets(PromptParts.ofContent(List.of("a")), 100);
        assertEquals(1, suspects.findCauses(TimeUnit.SECONDS.toNanos(4), s -> false).size());
        assertEquals(
                Set.of(), suspects.findCauses(TimeUnit.MILLISECONDS.toNanos(2_900), s -> false));
    }

    @Test
    void aPartOfAllPromptsIsNotFoundWithoutAnswersToCompareWith() {
        PromptSuspects suspects = endsOfNamedTargets(new PromptParts(List.of("first")), 100);
        assertEquals(Set.of(), suspects.findCauses(TimeUnit.SECONDS.toNanos(4), s -> false));
    }

    @Test
    void callersCannotNameAPartThatStandsForTheWholeContent() {
        String whole = PromptParts.ofContent(List.of("a")).shared().get(1);
        assertTrue(PromptParts.isWhole(whole));
        assertFalse(PromptParts.isWhole(PromptParts.ofCallerIds(List.of(whole)).shared().get(0)));
    }
}
