package org.sesamepin.node.fleet;

/** Keys and key prefixes of the fleet's data in the platform's store. */
public final class StoreKeys {
    /** Key of the {@link BundleHead}: the bundle version that the fleet shall use. */
    public static final String BUNDLE_HEAD = "/sesamepin/bundle/head";

    /** Key of the assignment: the members of the fleet with their epoch. */
    public static final String ASSIGNMENT = "/sesamepin/assignment";

    /** Prefix of the host records, which the store deletes when the hosts' leases end. */
    public static final String HOSTS_PREFIX = "/sesamepin/hosts/";

    /** Prefix of the entries of jobs that have not ended. */
    public static final String OPEN_JOBS_PREFIX = "/sesamepin/open-jobs/";

    /** Prefix of the quarantine of prompts under which targets ended. */
    public static final String PROMPT_QUARANTINE_PREFIX = "/sesamepin/prompt-quarantine/";

    private static final String BUNDLE_VERSIONS_PREFIX = "/sesamepin/bundle/versions/";
    private static final String JOBS_PREFIX = "/sesamepin/jobs/";
    private static final String FILES_PREFIX = "/sesamepin/files/";
    private static final String INTENTS_PREFIX = "/sesamepin/intents/";

    private StoreKeys() {}

    /** Returns the key of the signed bundle of a version. */
    public static String bundleVersion(long version) {
        return BUNDLE_VERSIONS_PREFIX + String.format("%012d", version);
    }

    /** Returns the prefix of all signed bundles. */
    public static String bundleVersionsPrefix() {
        return BUNDLE_VERSIONS_PREFIX;
    }

    /** Returns the key of a host's record. */
    public static String hostRecord(String host) {
        return HOSTS_PREFIX + host;
    }

    /** Returns the key of a job's record. */
    public static String jobRecord(String jobId) {
        return JOBS_PREFIX + jobId + "/record";
    }

    /** Returns the key of the fencing token for the writers of a job's results. */
    public static String jobFencingToken(String jobId) {
        return JOBS_PREFIX + jobId + "/fence";
    }

    /** Returns the prefix of a job's result segments. */
    public static String segmentsPrefix(String jobId) {
        return JOBS_PREFIX + jobId + "/results/";
    }

    /** Returns the key of a result segment; {@code fence} is the fencing token of its writer. */
    public static String segment(String jobId, long fence, long number) {
        return segmentsPrefix(jobId) + String.format("%08d-%08d", fence, number);
    }

    /** Returns the key of the entry of a job that has not ended. */
    public static String openJob(String jobId) {
        return OPEN_JOBS_PREFIX + jobId;
    }

    /** Returns the key of a file's record. */
    public static String fileRecord(String fileId) {
        return FILES_PREFIX + fileId + "/record";
    }

    /** Returns the key of one chunk of a file. */
    public static String fileChunk(String fileId, int number) {
        return FILES_PREFIX + fileId + "/chunks/" + String.format("%06d", number);
    }

    /** Returns the key of the recorded intent to run a call; {@code digest} identifies the call. */
    public static String intent(String digest) {
        return INTENTS_PREFIX + digest;
    }
}
