package org.sesamepin.core.key;

import java.security.SecureRandom;
import java.util.Base64;
import org.jspecify.annotations.Nullable;

/** Text of a caller key: {@code sp_ID_RANDOM}, so that the id is found without a search. */
public final class KeySecret {
    private static final String PREFIX = "sp_";
    private static final int RANDOM_BYTES = 24;

    private KeySecret() {}

    /** Makes a new secret for the key {@code id}. */
    public static String generate(String id, SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        String tail = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        return PREFIX + id + "_" + tail.replace('_', '-');
    }

    /** Returns the key's id inside {@code secret}, or null when it has not the right form. */
    static @Nullable String parseId(String secret) {
        int end = secret.lastIndexOf('_');
        if (!secret.startsWith(PREFIX) || end <= PREFIX.length()) {
            return null;
        }
        return secret.substring(PREFIX.length(), end);
    }
}
