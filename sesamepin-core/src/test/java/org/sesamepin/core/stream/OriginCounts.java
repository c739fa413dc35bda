package org.sesamepin.core.stream;

import java.util.HashMap;
import java.util.Map;

/** What became of the streams of a simulated fleet, and what that cost. */
final class OriginCounts {
    int mBegun;
    int mTakenUp;
    int mJoined;
    int mRefused;
    final Map<Finding.Source, Integer> mSources = new HashMap<>();
    int mWrites;
    int mReads;
    int mRemovals;

    /** Streams that were forwarded while the store told nothing of their version. */
    int mUnknown;

    /** Adds a stream of {@code version} that was taken up. */
    void add(Finding origin, String version) {
        mSources.merge(origin.source(), 1, Integer::sum);
        if (origin.software() == null) {
            mRefused++;
        } else if (!origin.software().version().equals(version)) {
            mJoined++;
        }
    }

    /** Adds the counts of another run. */
    void add(OriginCounts counts) {
        mBegun += counts.mBegun;
        mTakenUp += counts.mTakenUp;
        mJoined += counts.mJoined;
        mRefused += counts.mRefused;
        mWrites += counts.mWrites;
        mReads += counts.mReads;
        mRemovals += counts.mRemovals;
        mUnknown += counts.mUnknown;
        counts.mSources.forEach((s, n) -> mSources.merge(s, n, Integer::sum));
    }

    /** Returns the number of streams that were refused for want of a record. */
    int unrecorded() {
        return mSources.getOrDefault(Finding.Source.NO_RECORD, 0);
    }
}
