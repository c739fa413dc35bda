package org.sesamepin.node.tunnel;

import org.jspecify.annotations.Nullable;

/** No tunnel to a target could be opened; nothing of the request was sent. */
public final class TunnelException extends Exception {
    private static final long serialVersionUID = 1L;

    private final @Nullable TunnelAnswer mAnswer;

    /** Creates an exception; {@code answer} is null when no peer answered. */
    public TunnelException(String message, @Nullable TunnelAnswer answer) {
        super(message);
        mAnswer = answer;
    }

    /** Returns whether a peer that is not cut off could not reach the target either. */
    public boolean isTargetUnreachable() {
        return mAnswer == TunnelAnswer.REFUSED;
    }

    /** Returns the peer's answer for log lines. */
    public String outcome() {
        return mAnswer == null ? "no-answer" : mAnswer.label();
    }
}
