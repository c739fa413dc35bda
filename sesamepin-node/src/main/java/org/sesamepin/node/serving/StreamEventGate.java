package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.node.http.StreamEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back the events of an attempt until it is recorded which software writes them; what follows
 * them waits, too. Nothing passes when another target has registered in place of the attempt's.
 */
public final class StreamEventGate implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(StreamEventGate.class);

    private final AttemptListener mListener;
    private final BooleanSupplier mReplaced;
    private final Supplier<Future<Void>> mRecordStart;
    private final Queue<Runnable> mHeldBack = new ArrayDeque<>();
    private @Nullable TargetAttempt mAttempt;
    private boolean mStarted;
    private boolean mWaiting;

    /**
     * Creates a gate.
     *
     * @param replaced tells whether another target has registered in place of the attempt's
     * @param recordStart records which software writes the events
     */
    public StreamEventGate(
            AttemptListener listener,
            BooleanSupplier replaced,
            Supplier<Future<Void>> recordStart) {
        mListener = listener;
        mReplaced = replaced;
        mRecordStart = recordStart;
    }

    /** Sets the attempt, before it starts. */
    public void setAttempt(TargetAttempt attempt) {
        mAttempt = attempt;
    }

    @Override
    public void onEvent(StreamEvent event, long id) {
        if (!mStarted) {
            mStarted = true;
            if (mReplaced.getAsBoolean()) {
                cancel();
                mListener.onInterrupted("another target has registered in place of this one");
                return;
            }
            awaitRecord(mRecordStart.get());
        }
        pass(() -> mListener.onEvent(event, id));
    }

    @Override
    public void onComment(Buffer lines) {
        pass(() -> mListener.onComment(lines));
    }

    private void cancel() {
        TargetAttempt attempt = mAttempt;
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void awaitRecord(Future<Void> recorded) {
        if (recorded.isComplete()) {
            return;
        }
        mWaiting = true;
        setPaused(true);
        recorded.onComplete(result -> open());
    }

    private void open() {
        setPaused(false);
        try {
            passHeldBack();
        } catch (RuntimeException e) {
            LOG.error("step=gate target={} outcome=unexpected-failure", targetLabel(), e);
            mHeldBack.clear();
            cancel();
            mListener.onInterrupted("unexpected failure: " + e);
        } finally {
            mWaiting = false;
        }
    }

    private void passHeldBack() {
        while (!mHeldBack.isEmpty()) {
            mHeldBack.remove().run();
        }
    }

    private String targetLabel() {
        TargetAttempt attempt = mAttempt;
        return attempt == null ? "-" : attempt.target().incarnation();
    }

    private void setPaused(boolean paused) {
        TargetAttempt attempt = mAttempt;
        if (attempt != null) {
            attempt.setPaused(paused);
        }
    }

    private void pass(Runnable notification) {
        if (mWaiting) {
            mHeldBack.add(notification);
        } else {
            notification.run();
        }
    }

    @Override
    public boolean maySend() {
        return mListener.maySend();
    }

    @Override
    public void onSent() {
        mListener.onSent();
    }

    @Override
    public void onStreamStarted(ResponseHead head) {
        mListener.onStreamStarted(head);
    }

    @Override
    public void onStreamEnded() {
        pass(mListener::onStreamEnded);
    }

    @Override
    public void onResponse(ResponseHead head, Buffer body) {
        pass(() -> mListener.onResponse(head, body));
    }

    @Override
    public void onNotExecuted(boolean wasSent, String reason) {
        pass(() -> mListener.onNotExecuted(wasSent, reason));
    }

    @Override
    public void onNoPath(String reason) {
        pass(() -> mListener.onNoPath(reason));
    }

    @Override
    public boolean onSilence() {
        return mListener.onSilence();
    }

    @Override
    public void onProgressAfterSilence() {
        mListener.onProgressAfterSilence();
    }

    @Override
    public void onInterrupted(String reason) {
        pass(() -> mListener.onInterrupted(reason));
    }
}
