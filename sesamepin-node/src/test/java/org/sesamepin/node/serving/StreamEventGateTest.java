package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.http.StreamEvent;

/** Checks that no event passes before it is recorded which software writes the stream. */
class StreamEventGateTest {
    private static final StreamEvent EVENT =
            new StreamEvent(Buffer.buffer("id: 1\ndata: a\n\n"), "1", "a");

    private final List<String> mPassed = new ArrayList<>();
    private final Promise<Void> mRecorded = Promise.promise();
    private int mRecords;

    private final class Recorder implements AttemptListener {
        @Override
        public void onSent() {
            mPassed.add("sent");
        }

        @Override
        public void onStreamStarted(ResponseHead head) {}

        @Override
        public void onEvent(StreamEvent event, long id) {
            if (id == mFailingEvent) {
                throw new IllegalStateException("event " + id);
            }
            mPassed.add("event " + id);
        }

        @Override
        public void onComment(Buffer lines) {
            mPassed.add("comment");
        }

        @Override
        public void onStreamEnded() {
            mPassed.add("end");
        }

        @Override
        public void onResponse(ResponseHead head, Buffer body) {}

        @Override
        public void onNotExecuted(boolean wasSent, String reason) {}

        @Override
        public void onInterrupted(String reason) {
            mPassed.add("interrupted");
        }
    }

    private long mFailingEvent;

    private StreamEventGate gate(boolean replaced) {
        return new StreamEventGate(
                new Recorder(),
                () -> replaced,
                () -> {
                    mRecords++;
                    return mRecorded.future();
                });
    }

    @Test
    void eventsAndTheEndWaitForTheRecordInTheirOrder() {
        StreamEventGate gate = gate(false);
        gate.onSent();
        gate.onEvent(EVENT, 1);
        gate.onEvent(EVENT, 2);
        gate.onInterrupted("cut");
        assertEquals(List.of("sent"), mPassed);
        mRecorded.complete();
        assertEquals(List.of("sent", "event 1", "event 2", "interrupted"), mPassed);
        assertEquals(1, mRecords);
    }

    /** Guards against lines that change their place among the events that were held back. */
    @Test
    void linesBetweenEventsKeepTheirPlace() {
        StreamEventGate gate = gate(false);
        gate.onEvent(EVENT, 1);
        gate.onComment(Buffer.buffer(": ping\n"));
        gate.onEvent(EVENT, 2);
        mRecorded.complete();
        gate.onComment(Buffer.buffer(": ping\n"));
        assertEquals(List.of("event 1", "comment", "event 2", "comment"), mPassed);
    }

    @Test
    void eventsPassWhenTheRecordFails() {
        StreamEventGate gate = gate(false);
        gate.onEvent(EVENT, 1);
        mRecorded.fail("no answer");
        gate.onEvent(EVENT, 2);
        gate.onStreamEnded();
        assertEquals(List.of("event 1", "event 2", "end"), mPassed);
    }

    /** Guards against events of a process that took the place of the one that was meant. */
    @Test
    void nothingPassesFromATargetThatWasReplaced() {
        gate(true).onEvent(EVENT, 1);
        assertEquals(List.of("interrupted"), mPassed);
        assertEquals(0, mRecords);
    }

    /** Guards against a call that hangs when an event that was held back cannot be passed. */
    @Test
    void failureToPassAHeldBackEventEndsTheAttempt() {
        mFailingEvent = 2;
        StreamEventGate gate = gate(false);
        gate.onEvent(EVENT, 1);
        gate.onEvent(EVENT, 2);
        gate.onEvent(EVENT, 3);
        mRecorded.tryComplete();
        assertEquals(List.of("event 1", "interrupted"), mPassed);
    }
}
