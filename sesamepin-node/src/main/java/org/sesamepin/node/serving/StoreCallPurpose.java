package org.sesamepin.node.serving;

import java.util.List;
import org.sesamepin.node.spi.StoreTransaction;

/** What a call to the store is for, so that its cost can be told by the part that causes it. */
enum StoreCallPurpose {
    /** Reads and watches the configuration and the operator's orders. */
    CONFIG("config"),
    /** Reads and watches the registrations of targets. */
    TARGETS("targets"),
    /** Reads and watches hosts, jobs and their owners. */
    CONTROL("control"),
    /** Registers this host. */
    REGISTRATION("registration"),
    /** Accepts a job. */
    JOB_ACCEPTANCE("job-acceptance"),
    /** Takes over a job. */
    JOB_CLAIM("job-claim"),
    /** Reads or updates the progress of a job. */
    JOB_PROGRESS("job-progress"),
    /** Cancels a job, or looks for cancelled ones. */
    JOB_CANCELLATION("job-cancellation"),
    /** Reads items and results of a job, or appends results. */
    JOB_CONTENT("job-content"),
    /** Removes the content of a job that has ended. */
    JOB_REMOVAL("job-removal"),
    /** Reads or writes which version began a stream. */
    STREAMS("streams"),
    /** Writes the quarantine of prompts. */
    QUARANTINE("quarantine"),
    /** Renews, grants or ends the lease of this host. */
    LEASE("lease"),
    /** Calls for a host that the store turns away. */
    RELAY("relay"),
    /** None of the others. */
    OTHER("other");

    private record PrefixPurpose(String prefix, StoreCallPurpose purpose) {}

    /** Purposes by the start of the key; the first that matches counts. */
    private static final List<PrefixPurpose> BY_PREFIX =
            List.of(
                    new PrefixPurpose(ServingKeys.host(""), REGISTRATION),
                    new PrefixPurpose(ServingKeys.owner(""), JOB_CLAIM),
                    new PrefixPurpose(ServingKeys.job(""), JOB_PROGRESS),
                    new PrefixPurpose(ServingKeys.cancellation(""), JOB_CANCELLATION),
                    new PrefixPurpose(ServingKeys.acceptedCountersPrefix(), JOB_ACCEPTANCE),
                    new PrefixPurpose(ServingKeys.promptQuarantinePrefix(), QUARANTINE),
                    new PrefixPurpose(ServingKeys.CONTROL_PREFIX, CONTROL),
                    new PrefixPurpose(ServingKeys.contentsPrefix(), JOB_CONTENT),
                    new PrefixPurpose(ServingKeys.streamsPrefix(), STREAMS));

    private final String mLabel;

    StoreCallPurpose(String label) {
        mLabel = label;
    }

    /** Returns the label for metrics and log lines. */
    String label() {
        return mLabel;
    }

    /** Returns the purpose of reading or watching keys that start with {@code prefix}. */
    static StoreCallPurpose ofRead(String prefix, FleetProtocol protocol) {
        if (prefix.equals(protocol.configPrefix())) {
            return CONFIG;
        }
        if (prefix.equals(protocol.targetPrefix())) {
            return TARGETS;
        }
        return ofKey(prefix);
    }

    /** Returns the purpose of a transaction, which its first write tells. */
    static StoreCallPurpose ofWrite(StoreTransaction transaction) {
        if (transaction.writes().isEmpty()) {
            return OTHER;
        }
        StoreTransaction.Write first = transaction.writes().get(0);
        StoreCallPurpose purpose = ofKey(first.key());
        return first.delete() && purpose == JOB_CONTENT ? JOB_REMOVAL : purpose;
    }

    private static StoreCallPurpose ofKey(String key) {
        for (PrefixPurpose entry : BY_PREFIX) {
            if (key.startsWith(entry.prefix())) {
                return entry.purpose();
            }
        }
        return OTHER;
    }
}
