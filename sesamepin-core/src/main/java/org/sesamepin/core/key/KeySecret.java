package org.sesamepin.core.key;

import java.security.SecureRandom;
import java.util.Base64;
import org.jspecify.annotations.Nullable;

/** Secret of a caller key, {@code sp_ID_RANDOM}; the id allows a lookup without a search. */
public final class KeySecret {
    private static final String PREFIX = "sp_";
    private static final int RANDOM_BYTES = 24;

    private KeySecret() {}

    /** Generates a new secret for the key {@code id}. */
    public static String generate(String id, SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        String randomPart = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        return PREFIX + id + "_" + randomPart.replace('_', '-');
    }

    /** Returns the key id contained in {@code secret}, or null if the secret is malformed. */
    static @Nullable String parseId(String secret) {
        int separatorIndex = secret.lastIndexOf('_');
        if (!secret.startsWith(PREFIX) || separatorIndex <= PREFIX.length()) {
            return null;
        }
        return secret.substring(PREFIX.length(), separatorIndex);
    }
}
