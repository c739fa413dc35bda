package org.sesamepin.core.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Caches the owner of each key under one view of the live hosts. Thread-safe. */
public final class OwnerTable {
    /** Limit on the cached keys, since the keys of jobs come and go. */
    private static final int MAX_CACHED_KEYS = 100_000;

    private final List<String> mView;
    private final String mFallbackOwner;
    private final Map<String, String> mOwnersByKey = new ConcurrentHashMap<>();

    /** Creates a table for {@code view}; {@code fallback} owns every key if the view is empty. */
    public OwnerTable(List<String> view, String fallback) {
        mView = List.copyOf(view);
        mFallbackOwner = fallback;
    }

    public List<String> view() {
        return mView;
    }

    /** Returns the owner of {@code key}. */
    public String owner(String key) {
        String cached = mOwnersByKey.get(key);
        if (cached != null) {
            return cached;
        }
        String computed = Rendezvous.owner(key, mView);
        String owner = computed == null ? mFallbackOwner : computed;
        if (mOwnersByKey.size() < MAX_CACHED_KEYS) {
            mOwnersByKey.put(key, owner);
        }
        return owner;
    }
}
