package org.sesamepin.node.serving;

/** Keys of sesamepin in the store. */
public final class ServingKeys {
    /** Prefix of all keys that every host watches. */
    public static final String CONTROL_PREFIX = "sesamepin/control/";

    private static final String HOSTS = CONTROL_PREFIX + "host/";
    private static final String OWNERS = CONTROL_PREFIX + "owner/";
    private static final String JOBS = CONTROL_PREFIX + "job/";
    private static final String ENDS = CONTROL_PREFIX + "end/";
    private static final String ACCEPTED = CONTROL_PREFIX + "accepted/";
    private static final String PROMPT_QUARANTINE = CONTROL_PREFIX + "prompt/";
    private static final String CONTENT = "sesamepin/content/";
    private static final String STREAMS = "sesamepin/stream/";
    private static final String STREAM_VERSIONS = STREAMS + "version/";
    private static final String STREAM_RECORDS = STREAMS + "record/";

    private ServingKeys() {}

    /** Kinds of key below {@link #CONTROL_PREFIX}. */
    public enum Kind {
        /** Registration of a host. */
        HOST(HOSTS),
        /** Owner of a job. */
        OWNER(OWNERS),
        /** Progress of a job. */
        JOB(JOBS),
        /** Cancellation of a job by its customer. */
        CANCELLATION(ENDS),
        /** Counter that changes with each job accepted for one customer on one route. */
        ACCEPTED(ServingKeys.ACCEPTED);

        private final String mPrefix;

        Kind(String prefix) {
            mPrefix = prefix;
        }

        /** Returns whether {@code key} is of this kind. */
        public boolean matches(String key) {
            return key.startsWith(mPrefix);
        }

        /** Returns the part of {@code key} after the prefix. */
        public String name(String key) {
            return key.substring(mPrefix.length());
        }
    }

    /** Returns the key of a host's registration. */
    public static String host(String host) {
        return HOSTS + host;
    }

    /** Returns the key of a job's owner. */
    public static String owner(String job) {
        return OWNERS + job;
    }

    /** Returns the key of a job's progress. */
    public static String job(String job) {
        return JOBS + job;
    }

    /** Returns the key that marks a job as cancelled by its customer. */
    public static String cancellation(String job) {
        return ENDS + job;
    }

    /**
     * Returns the key of the counter that changes with each job accepted for a customer on a route.
     */
    public static String acceptedCounter(String customer, String route) {
        return ACCEPTED + customer + '/' + route;
    }

    /** Returns the prefix of the counters of accepted jobs. */
    static String acceptedCountersPrefix() {
        return ACCEPTED;
    }

    /** Returns the prefix of the keys of the items and results of all jobs. */
    static String contentsPrefix() {
        return CONTENT;
    }

    /** Returns the prefix of the keys of the quarantine of prompts. */
    public static String promptQuarantinePrefix() {
        return PROMPT_QUARANTINE;
    }

    /** Returns the prefix of the keys of a job's items. */
    public static String itemsPrefix(String job) {
        return CONTENT + job + "/items/";
    }

    /** Returns the key of one part of a job's items. */
    public static String itemPart(String job, int part) {
        return itemsPrefix(job) + String.format("%04d", part);
    }

    /** Returns the prefix of the keys of a job's results. */
    public static String resultsPrefix(String job) {
        return CONTENT + job + "/results/";
    }

    /** Returns the key of one segment of a job's results. */
    public static String segment(String job, int number) {
        return resultsPrefix(job) + String.format("%06d", number);
    }

    /** Returns the prefix of the keys of a job's items and results. */
    public static String contentPrefix(String job) {
        return CONTENT + job + '/';
    }

    /** Returns the prefix of all keys that tell which version began a stream; nobody watches it. */
    public static String streamsPrefix() {
        return STREAMS;
    }

    /** Returns the prefix of the statements of versions. */
    public static String streamVersionsPrefix() {
        return STREAM_VERSIONS;
    }

    /** Returns the key of the statement of a version. */
    public static String streamVersion(long digest) {
        return STREAM_VERSIONS + String.format("%016x", digest);
    }

    /** Returns the prefix of the buckets of records of streams. */
    public static String streamRecordsPrefix() {
        return STREAM_RECORDS;
    }

    /**
     * Returns the key of a bucket of records.
     *
     * @param openedAtMs when the bucket was opened, milliseconds since the Unix epoch
     * @param writer name that no other process has
     */
    public static String streamRecords(long openedAtMs, String writer, long number) {
        return STREAM_RECORDS + String.format("%013d-%s-%d", openedAtMs, writer, number);
    }

    /**
     * Returns when a bucket of records was opened, milliseconds since the Unix epoch; 0 for the key
     * of another writer.
     */
    public static long streamRecordsOpenedAtMs(String key) {
        String name = key.substring(STREAM_RECORDS.length());
        int end = name.indexOf('-');
        try {
            return end < 0 ? 0 : Long.parseLong(name.substring(0, end));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
