package org.sesamepin.node.fleet;

/** Keys in the platform's store. */
public final class StoreKeys {
    /** Number, roll id and digest of the version in force. */
    public static final String BUNDLE_HEAD = "/sesamepin/bundle/head";

    /** Members of the fleet with their epoch. */
    public static final String ASSIGNMENT = "/sesamepin/assignment";

    /** Prefix of the hosts' records, which go away with their leases. */
    public static final String HOSTS_PREFIX = "/sesamepin/hosts/";

    /** Prefix of the jobs that have not ended. */
    public static final String OPEN_JOBS_PREFIX = "/sesamepin/open-jobs/";

    private static final String VERSIONS = "/sesamepin/bundle/versions/";
    private static final String JOBS = "/sesamepin/jobs/";
    private static final String FILES = "/sesamepin/files/";
    private static final String INTENTS = "/sesamepin/intents/";

    private StoreKeys() {}

    /** Returns the key of a signed bundle. */
    public static String bundleVersion(long version) {
        return VERSIONS + String.format("%012d", version);
    }

    /** Returns the prefix of all signed bundles. */
    public static String bundleVersionsPrefix() {
        return VERSIONS;
    }

    /** Returns the key of a host's record. */
    public static String hostRecord(String host) {
        return HOSTS_PREFIX + host;
    }

    /** Returns the key of a job's record. */
    public static String jobRecord(String jobId) {
        return JOBS + jobId + "/record";
    }

    /** Returns the key that fences the writers of a job's results. */
    public static String jobFencingToken(String jobId) {
        return JOBS + jobId + "/fence";
    }

    /** Returns the prefix of a job's result segments. */
    public static String segmentsPrefix(String jobId) {
        return JOBS + jobId + "/results/";
    }

    /** Returns the key of a result segment. */
    public static String segment(String jobId, long fence, long number) {
        return segmentsPrefix(jobId) + String.format("%08d-%08d", fence, number);
    }

    /** Returns the key of an open job. */
    public static String openJob(String jobId) {
        return OPEN_JOBS_PREFIX + jobId;
    }

    /** Returns the key of a file's record. */
    public static String fileRecord(String fileId) {
        return FILES + fileId + "/record";
    }

    /** Returns the key of one chunk of a file. */
    public static String fileChunk(String fileId, int number) {
        return FILES + fileId + "/chunks/" + String.format("%06d", number);
    }

    /** Returns the key under which the intent to run a call is recorded. */
    public static String intent(String digest) {
        return INTENTS + digest;
    }
}
