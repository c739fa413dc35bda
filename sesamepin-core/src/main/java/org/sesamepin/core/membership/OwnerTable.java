package org.sesamepin.core.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Owners of keys under one view of the live hosts, computed once for each key. Thread-safe. */
public final class OwnerTable {
    /** Keys that are remembered at most; jobs come and go. */
    private static final int MAX_CACHED_KEYS = 100_000;

    private final List<String> mView;
    private final String mFallbackOwner;
    private final Map<String, String> mOwnersByKey = new ConcurrentHashMap<>();

    /** Creates a table; {@code fallback} owns every key when the view is empty. */
    public OwnerTable(List<String> view, String fallback) {
        mView = List.copyOf(view);
        mFallbackOwner = fallback;
    }

    public List<String> view() {
        return mView;
    }

    /** Returns the owner of {@code key}. */
    public String owner(String key) {
        String known = mOwnersByKey.get(key);
        if (known != null) {
            return known;
        }
        String found = Rendezvous.owner(key, mView);
        String owner = found == null ? mFallbackOwner : found;
        if (mOwnersByKey.size() < MAX_CACHED_KEYS) {
            mOwnersByKey.put(key, owner);
        }
        return owner;
    }
}
