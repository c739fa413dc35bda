package org.sesamepin.core.stream;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * What is known of the software that began a stream.
 *
 * @param software the software at which the stream may go on; null when it is not known
 * @param source how it is known, or why it is not
 */
public record Finding(@Nullable TargetSoftware software, Source source) {
    /** How the software is known, or why it is not. */
    public enum Source {
        /** This host began the stream, or went on with it. */
        HOST("host"),
        /** A record in the store. */
        RECORD("record"),
        /** Streams that can still be taken up began at no other version. */
        ONLY_VERSION("only-version"),
        /** Streams of several versions have the name. */
        AMBIGUOUS("ambiguous"),
        /** The stream began at a service to which the route does not send. */
        OTHER_SERVICE("other-service"),
        /** Streams may have begun at several versions, and this one has no record. */
        NO_RECORD("no-record"),
        /** The store did not answer in time. */
        STORE_SILENT("store-silent");

        private final String mLabel;

        Source(String label) {
            mLabel = label;
        }

        /** Returns the name for logs and metrics. */
        public String label() {
            return mLabel;
        }
    }

    /** Returns a finding that tells no software. */
    public static Finding unknown(Source reason) {
        return new Finding(null, reason);
    }

    /**
     * Decides by the streams that this host has begun.
     *
     * @param own record of the stream at this host, or null
     * @return the finding, or null when this host does not know the stream
     */
    public static @Nullable Finding ofOwn(TakeUp takeUp, @Nullable StreamRecord own) {
        return own == null ? null : ofRecord(takeUp, own, Source.HOST);
    }

    /** Decides by what the store held at some moment after the caller's request. */
    public static Finding ofStored(TakeUp takeUp, StoredOrigins stored) {
        Long key = takeUp.key();
        StreamRecord record = key == null ? null : stored.recorded(key);
        if (record != null) {
            return ofRecord(takeUp, record, Source.RECORD);
        }
        TargetSoftware only = stored.onlySoftware(takeUp.services());
        return only == null ? unknown(Source.NO_RECORD) : new Finding(only, Source.ONLY_VERSION);
    }

    private static Finding ofRecord(TakeUp takeUp, StreamRecord record, Source source) {
        TargetSoftware software = record.software();
        if (software == null) {
            return unknown(Source.AMBIGUOUS);
        }
        return takeUp.services().contains(software.service())
                ? new Finding(software, source)
                : unknown(Source.OTHER_SERVICE);
    }

    /** Returns whether a record may still be on its way to the store. */
    public boolean mayBeRecordedSoon() {
        return source == Source.NO_RECORD;
    }
}
