package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.node.http.StreamEvent;

/** Records the progress and the end of an attempt as texts, for comparison. */
final class AttemptRecorder implements AttemptListener {
    private final List<String> mEvents = new CopyOnWriteArrayList<>();
    private final CompletableFuture<String> mEnd = new CompletableFuture<>();

    /** Returns the head of a request without a prompt. */
    static CallHead headOf(String id) {
        return new CallHead(
                id,
                HttpMethod.POST,
                "h",
                "/p",
                "/p",
                null,
                0,
                null,
                null,
                MultiMap.caseInsensitiveMultiMap(),
                PromptParts.NONE);
    }

    /** Returns what happened before the end, in order. */
    List<String> events() {
        return mEvents;
    }

    /** Returns how the attempt ends. */
    CompletableFuture<String> end() {
        return mEnd;
    }

    @Override
    public void onSent() {
        mEvents.add("sent");
    }

    @Override
    public void onStreamStarted(ResponseHead head) {
        mEvents.add("stream");
    }

    @Override
    public void onEvent(StreamEvent event, long id) {
        mEvents.add("event " + id);
    }

    @Override
    public void onComment(Buffer lines) {
        mEvents.add("comment");
    }

    @Override
    public void onStreamEnded() {
        mEnd.complete("ended");
    }

    @Override
    public void onResponse(ResponseHead head, Buffer body) {
        mEnd.complete("answered " + head.status() + ' ' + body);
    }

    @Override
    public void onNotExecuted(boolean wasSent, String reason) {
        mEnd.complete("refused");
    }

    @Override
    public void onInterrupted(String reason) {
        mEnd.complete("broken");
    }
}
