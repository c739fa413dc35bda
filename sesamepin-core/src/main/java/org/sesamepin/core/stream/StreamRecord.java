package org.sesamepin.core.stream;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Record of a stream's begin.
 *
 * @param key digest of the stream, see {@link StreamKey}
 * @param software software of the target that sent its first event; null when streams of several
 *     have this name
 */
public record StreamRecord(long key, @Nullable TargetSoftware software) {
    /** Returns the record of a name that began streams at several versions. */
    public static StreamRecord ambiguous(long key) {
        return new StreamRecord(key, null);
    }
}
