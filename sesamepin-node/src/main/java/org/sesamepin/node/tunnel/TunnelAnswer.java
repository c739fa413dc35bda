package org.sesamepin.node.tunnel;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** What a host answers to one that asks it for a tunnel. */
public enum TunnelAnswer {
    /** The target is connected; what follows is passed on in both directions. */
    CONNECTED('C'),
    /** The host cannot reach the target either. */
    REFUSED('R'),
    /** The host is cut off from the targets itself. */
    ISOLATED('I'),
    /** The host knows no such target. */
    UNKNOWN_TARGET('U'),
    /** The host has its maximum of tunnels open. */
    BUSY('B');

    private final byte mCode;

    TunnelAnswer(char code) {
        mCode = (byte) code;
    }

    byte code() {
        return mCode;
    }

    static @Nullable TunnelAnswer of(byte code) {
        for (TunnelAnswer answer : values()) {
            if (answer.mCode == code) {
                return answer;
            }
        }
        return null;
    }

    /** Returns the name for log lines and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
