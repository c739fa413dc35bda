package org.sesamepin.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digest of the secret of a key. Digests are compared in constant time. */
public final class KeyDigest {
    private final byte[] mBytes;

    private KeyDigest(byte[] bytes) {
        mBytes = bytes;
    }

    /** Returns the digest of a secret. */
    public static KeyDigest ofSecret(String secret) {
        return new KeyDigest(sha256().digest(secret.getBytes(StandardCharsets.UTF_8)));
    }

    /** Parses a digest of 64 hexadecimal digits. */
    public static KeyDigest ofHex(String hex) {
        return new KeyDigest(HexFormat.of().parseHex(hex));
    }

    /** Returns whether the digests are equal, in a time independent of where they differ. */
    public boolean matches(KeyDigest other) {
        return MessageDigest.isEqual(mBytes, other.mBytes);
    }

    /** Returns the digest as 64 hexadecimal digits. */
    public String hex() {
        return HexFormat.of().formatHex(mBytes);
    }

    /** Returns the SHA-256 implementation of the Java platform. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "this Java platform lacks SHA-256, which every one must support", e);
        }
    }
}
