package org.sesamepin.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digest of a secret; compared in constant time. */
public final class KeyDigest {
    private final byte[] mBytes;

    private KeyDigest(byte[] bytes) {
        mBytes = bytes;
    }

    /** Returns the digest of a secret. */
    public static KeyDigest ofSecret(String secret) {
        return new KeyDigest(sha256().digest(secret.getBytes(StandardCharsets.UTF_8)));
    }

    /** Reads a digest of 64 hexadecimal digits. */
    public static KeyDigest ofHex(String hex) {
        return new KeyDigest(HexFormat.of().parseHex(hex));
    }

    /** Compares in a time that does not depend on where the digests differ. */
    public boolean matches(KeyDigest other) {
        return MessageDigest.isEqual(mBytes, other.mBytes);
    }

    /** Returns 64 hexadecimal digits. */
    public String hex() {
        return HexFormat.of().formatHex(mBytes);
    }

    /** Returns the platform's SHA-256 implementation. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
