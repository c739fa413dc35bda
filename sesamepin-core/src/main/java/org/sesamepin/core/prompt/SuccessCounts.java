package org.sesamepin.core.prompt;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Numbers of complete answers lately, by key. Bounded for any number of keys: the keys that were
 * not counted for the longest time are dropped first. Not thread-safe.
 */
final class SuccessCounts {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MAX_KEYS = 4_096;

    private static final class Period extends LinkedHashMap<String, Integer> {
        private static final long serialVersionUID = 1L;

        Period() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_KEYS;
        }
    }

    private Period mCurrent = new Period();
    private Period mPrevious = new Period();
    private long mCurrentSince;

    SuccessCounts(long now) {
        mCurrentSince = now;
    }

    void add(String key, long now) {
        if (now - mCurrentSince >= PERIOD_NANOS) {
            mPrevious = mCurrent;
            mCurrent = new Period();
            mCurrentSince = now;
        }
        mCurrent.merge(key, 1, Integer::sum);
    }

    /** Returns the successes of one to two minutes. */
    int count(String key) {
        return mCurrent.getOrDefault(key, 0) + mPrevious.getOrDefault(key, 0);
    }
}
