package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.serving.StreamCaller.Answer;

/**
 * Checks that all events of one stream come from targets of one software version, while targets of
 * two versions serve and streams break off.
 */
class StreamVersionsTest {
    private static final int NODES = 2;
    private static final int STREAMS = 40;
    private static final int EVENTS_BEFORE_BREAK = 3;
    private static final long START_INTERVAL_MS = 15;
    private static final long AT_ONCE_MS = 1_000;
    private static final long JOB_TIMEOUT_SECONDS = 15;
    private static final List<String> TWO_OF_EACH = List.of("v1", "v1", "v1.1", "v1.1");
    private static final List<String> ONE_OLD = List.of("v1", "v1.1", "v1.1");

    private static LoopbackFleet start(int slots, List<String> versions) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.RESUMABLE_STREAM, Set.of(), slots);
        fleet.start(NODES, versions);
        return fleet;
    }

    /** Makes a call for each stream, shortly after one another, and returns the answers. */
    private static List<Answer> callAll(LoopbackFleet fleet, IntFunction<Future<Answer>> call)
            throws Exception {
        return fleet.onLoop(
                () -> {
                    List<Future<Answer>> answers = new ArrayList<>();
                    for (int i = 0; i < STREAMS; i++) {
                        int stream = i;
                        Promise<Answer> answer = Promise.promise();
                        answers.add(answer.future());
                        fleet.vertx()
                                .setTimer(
                                        1 + i * START_INTERVAL_MS,
                                        t -> call.apply(stream).onComplete(answer));
                    }
                    return Future.all(answers).map(all -> all.<Answer>list());
                });
    }

    private static List<Answer> readAll(LoopbackFleet fleet) throws Exception {
        StreamCaller caller = new StreamCaller(fleet.vertx());
        return callAll(fleet, i -> caller.read(fleet.port(i % NODES), "a" + i));
    }

    private static List<Answer> beginAll(LoopbackFleet fleet) throws Exception {
        StreamCaller caller = new StreamCaller(fleet.vertx());
        return callAll(
                fleet, i -> caller.readSome(fleet.port(i % NODES), "a" + i, EVENTS_BEFORE_BREAK));
    }

    /** Takes all streams up at the hosts where they began, and returns the whole streams. */
    private static List<Answer> takeUpAll(LoopbackFleet fleet, List<Answer> begun)
            throws Exception {
        StreamCaller caller = new StreamCaller(fleet.vertx());
        return callAll(
                fleet,
                i -> {
                    Answer first = begun.get(i);
                    int after = first.versions().size();
                    return caller.takeUp(fleet.port(i % NODES), "b" + i, List.of(first.id()), after)
                            .map(first::with);
                });
    }

    private static long joined(List<Answer> answers) {
        return answers.stream().filter(Answer::isJoined).count();
    }

    private static long whole(List<Answer> answers) {
        return answers.stream().filter(Answer::isWhole).count();
    }

    /** A stream that breaks off must go on within its answer at a target of the same version. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void brokenStreamGoesOnAtItsVersion(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, TWO_OF_EACH)) {
            fleet.targets().setBreakAfterEvents(EVENTS_BEFORE_BREAK);
            List<Answer> answers = readAll(fleet);
            assertEquals(0, joined(answers), answers.toString());
            assertEquals(STREAMS, whole(answers), answers.toString());
        }
    }

    /** A stream whose version is gone must break off at once, not go on at another version. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void streamWithoutATargetOfItsVersionBreaksOff(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, ONE_OLD)) {
            fleet.targets().setBreakAfterEvents(EVENTS_BEFORE_BREAK);
            List<Answer> answers = readAll(fleet);
            assertEquals(0, joined(answers), answers.toString());
            List<Answer> old = answers.stream().filter(answer -> answer.beganAt("v1")).toList();
            assertTrue(!old.isEmpty(), answers.toString());
            for (Answer answer : old) {
                assertTrue(!answer.ended() && answer.ms() < AT_ONCE_MS, answer.toString());
            }
            assertEquals(STREAMS - old.size(), whole(answers), answers.toString());
        }
    }

    /** A result of an item must not be joined from events of two versions. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void itemIsNotJoinedFromTwoVersions(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, ONE_OLD)) {
            fleet.targets().setBreakAfterEvents(EVENTS_BEFORE_BREAK);
            List<String> parts = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                parts.add("p" + i);
            }
            fleet.submitJob(0, "job", parts);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(JOB_TIMEOUT_SECONDS);
            List<JobResult> results = fleet.results(0, "job");
            while (results.size() < STREAMS && System.nanoTime() < end) {
                Thread.sleep(50);
                results = fleet.results(0, "job");
            }
            assertEquals(STREAMS, results.size());
            long joined =
                    results.stream()
                            .filter(r -> new HashSet<>(r.output().lines().toList()).size() > 1)
                            .count();
            assertEquals(0, joined, results.toString());
            for (JobResult result : results) {
                assertTrue(result.completed(), result.toString());
                assertEquals(StandInTargets.EVENTS, result.output().lines().count());
            }
        }
    }

    /** A stream that its caller takes up must go on at a target of the version that began it. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void streamThatIsTakenUpGoesOnAtItsVersion(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, TWO_OF_EACH)) {
            List<Answer> streams = takeUpAll(fleet, beginAll(fleet));
            assertEquals(0, joined(streams), streams.toString());
            assertEquals(STREAMS, whole(streams), streams.toString());
        }
    }

    /** A stream whose version is gone must be refused as not run when it is taken up. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void takeUpWithoutATargetOfItsVersionIsRefused(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, ONE_OLD)) {
            List<Answer> begun = beginAll(fleet);
            fleet.onLoop(
                    () -> {
                        fleet.targets().stopAll("v1");
                        return Future.succeededFuture();
                    });
            fleet.awaitTargets(ONE_OLD.size() - 1);
            List<Answer> streams = takeUpAll(fleet, begun);
            assertEquals(0, joined(streams), streams.toString());
            List<Answer> old = streams.stream().filter(stream -> stream.beganAt("v1")).toList();
            assertTrue(!old.isEmpty(), streams.toString());
            for (Answer stream : old) {
                assertEquals(ProblemType.NO_TARGET.label(), stream.problem(), stream.toString());
                assertEquals(503, stream.status());
                assertTrue(stream.ms() < AT_ONCE_MS, stream.toString());
            }
            assertEquals(STREAMS - old.size(), whole(streams), streams.toString());
        }
    }

    /** A stream whose version is not known must be refused while targets of two versions serve. */
    @Test
    void takeUpOfAnUnknownStreamIsRefusedWhileTwoVersionsServe() throws Exception {
        try (LoopbackFleet fleet = start(0, TWO_OF_EACH)) {
            StreamCaller caller = new StreamCaller(fleet.vertx());
            for (List<String> resumes :
                    List.of(List.<String>of(), List.of("unknown"), List.of("a", "b"))) {
                Answer answer =
                        fleet.onLoop(
                                () ->
                                        caller.takeUp(
                                                fleet.port(0), "c", resumes, EVENTS_BEFORE_BREAK));
                assertEquals(503, answer.status(), answer.toString());
                assertTrue(answer.ms() < AT_ONCE_MS, answer.toString());
            }
        }
    }

    /** Versions go forward and back, three at once, while every stream breaks off. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void noStreamIsJoinedWhileVersionsComeAndGo(int slots) throws Exception {
        try (LoopbackFleet fleet = start(slots, TWO_OF_EACH)) {
            fleet.targets().setBreakAfterEvents(EVENTS_BEFORE_BREAK);
            StreamCaller caller = new StreamCaller(fleet.vertx());
            fleet.onLoop(
                    () -> {
                        StandInTargets targets = fleet.targets();
                        fleet.vertx().setTimer(100, t -> targets.startOne("v1.2"));
                        fleet.vertx().setTimer(200, t -> targets.stopAll("v1"));
                        fleet.vertx().setTimer(300, t -> targets.startOne("v1"));
                        fleet.vertx().setTimer(400, t -> targets.startOne("v1.2"));
                        return Future.succeededFuture();
                    });
            List<Answer> answers =
                    callAll(
                            fleet,
                            i -> {
                                int port = fleet.port(i % NODES);
                                return caller.read(port, "a" + i)
                                        .compose(first -> takeUpUnlessWhole(caller, port, first));
                            });
            assertEquals(0, joined(answers), answers.toString());
            assertTrue(whole(answers) >= STREAMS / 2, answers.toString());
        }
    }

    private static Future<Answer> takeUpUnlessWhole(StreamCaller caller, int port, Answer first) {
        if (first.isWhole() || first.versions().isEmpty()) {
            return Future.succeededFuture(first);
        }
        return caller.takeUp(
                        port, "again-" + first.id(), List.of(first.id()), first.versions().size())
                .map(first::with);
    }
}
