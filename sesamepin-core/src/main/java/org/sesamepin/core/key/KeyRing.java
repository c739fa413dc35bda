package org.sesamepin.core.key;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.CallerKey;

/** Finds the key that a caller presents; immutable. */
public final class KeyRing {
    private static final KeyDigest NO_KEY = KeyDigest.ofSecret("");

    private final Map<String, CallerKey> mKeys = new HashMap<>();

    /** Creates a ring from all keys of a bundle. */
    public KeyRing(Collection<CallerKey> keys) {
        for (CallerKey key : keys) {
            mKeys.put(key.id(), key);
        }
    }

    /**
     * Returns the key in force for {@code secret}, or null when it is unknown or withdrawn. An
     * unknown key costs the same digest and compare as a known one.
     */
    public @Nullable CallerKey find(String secret) {
        KeyDigest presented = KeyDigest.ofSecret(secret);
        @Nullable String id = KeySecret.idOf(secret);
        CallerKey key = id == null ? null : mKeys.get(id);
        boolean matches = presented.matches(key == null ? NO_KEY : key.digest());
        if (key == null || !matches || key.withdrawn()) {
            return null;
        }
        return key;
    }

    /** Tells whether the key with this id and digest may still be used. */
    public boolean isActive(CallerKey key) {
        CallerKey current = mKeys.get(key.id());
        return current != null
                && !current.withdrawn()
                && current.customer().equals(key.customer())
                && current.digest().matches(key.digest());
    }

    public Collection<CallerKey> all() {
        return mKeys.values();
    }
}
