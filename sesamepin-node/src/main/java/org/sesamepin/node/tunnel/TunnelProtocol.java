package org.sesamepin.node.tunnel;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * The request that begins a tunnel: four bytes that are no length of a peer frame, two bytes of
 * length, and the incarnation of the target.
 */
public final class TunnelProtocol {
    /** Number of bytes that tell a tunnel from a connection with frames. */
    public static final int MAGIC_BYTES = 4;

    private static final int MAGIC = 0x54554E31;
    private static final int HEAD_BYTES = MAGIC_BYTES + 2;
    private static final int MAX_INCARNATION_BYTES = 1_024;

    private TunnelProtocol() {}

    /** Returns whether received bytes, {@link #MAGIC_BYTES} or more, begin a tunnel. */
    public static boolean isTunnel(Buffer received) {
        return received.getInt(0) == MAGIC;
    }

    static Buffer encode(String incarnation) {
        byte[] bytes = incarnation.getBytes(StandardCharsets.UTF_8);
        return Buffer.buffer()
                .appendInt(MAGIC)
                .appendUnsignedShort(bytes.length)
                .appendBytes(bytes);
    }

    /** Returns the incarnation that a request names; null while it is not complete. */
    static @Nullable String decode(Buffer received) {
        if (received.length() < HEAD_BYTES) {
            return null;
        }
        int end = HEAD_BYTES + received.getUnsignedShort(MAGIC_BYTES);
        return received.length() < end
                ? null
                : received.getString(HEAD_BYTES, end, StandardCharsets.UTF_8.name());
    }

    /** Returns whether received bytes cannot be the begin of a request. */
    static boolean isTooLong(Buffer received) {
        return received.length() > HEAD_BYTES + MAX_INCARNATION_BYTES;
    }
}
