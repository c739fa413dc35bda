package org.sesamepin.core.key;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.CallerKey;

/** Finds the caller key for a secret that a caller presents; immutable. */
public final class KeyRing {
    private static final KeyDigest DUMMY_DIGEST = KeyDigest.ofSecret("");

    private final Map<String, CallerKey> mKeysById = new HashMap<>();

    /** Creates a key ring with all keys of a bundle. */
    public KeyRing(Collection<CallerKey> keys) {
        for (CallerKey key : keys) {
            mKeysById.put(key.id(), key);
        }
    }

    /**
     * Returns the active key with the given {@code secret}, or null if it is unknown or withdrawn.
     * An unknown key takes the same digest and comparison as a known one, so that the timing is the
     * same.
     */
    public @Nullable CallerKey find(String secret) {
        KeyDigest presented = KeyDigest.ofSecret(secret);
        @Nullable String id = KeySecret.parseId(secret);
        CallerKey key = id == null ? null : mKeysById.get(id);
        boolean matches = presented.matches(key == null ? DUMMY_DIGEST : key.digest());
        if (key == null || !matches || key.withdrawn()) {
            return null;
        }
        return key;
    }

    /** Returns whether {@code key} is still in this key ring, unchanged and not withdrawn. */
    public boolean isActive(CallerKey key) {
        CallerKey current = mKeysById.get(key.id());
        return current != null
                && !current.withdrawn()
                && current.customer().equals(key.customer())
                && current.digest().matches(key.digest());
    }

    public Collection<CallerKey> all() {
        return mKeysById.values();
    }
}
