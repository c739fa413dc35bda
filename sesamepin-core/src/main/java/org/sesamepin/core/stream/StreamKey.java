package org.sesamepin.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/** Digests by which streams and software are named in the store. */
public final class StreamKey {
    private StreamKey() {}

    /**
     * Returns the digest of a stream.
     *
     * @param customer customer whose stream it is; null for an anonymous caller
     * @param id id of the caller's attempt that brought the first event
     */
    public static long of(@Nullable String customer, String id) {
        return digest("stream", customer == null ? "" : customer, id);
    }

    /** Returns the digest of a software. */
    public static long of(TargetSoftware software) {
        return digest("software", software.service(), software.version());
    }

    private static long digest(String kind, String first, String second) {
        String text = kind + '\0' + first + '\0' + second;
        return ByteBuffer.wrap(sha256().digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
