package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/** Reads and writes jobs in the store. */
public final class JobStorage {
    private static final byte[] MARK = {'1'};
    private static final int MAX_REMOVED = 30;

    /**
     * All results of a job that the store holds.
     *
     * @param results results in the order of their positions
     * @param segments number of values that hold them
     * @param failures answers of targets that an item failed, by item id
     */
    record Results(List<JobResult> results, int segments, Map<String, Integer> failures) {}

    private final WatchableStore mStore;

    /** Creates a storage of jobs in {@code store}. */
    public JobStorage(WatchableStore store) {
        mStore = store;
    }

    /** Accepts a job, unless it exists or another one of the customer was accepted meanwhile. */
    Future<StoreResult> accept(
            String job,
            JobSummary summary,
            List<JobItem> items,
            long acceptedRevision,
            byte[] owner,
            long lease) {
        String counter = ServingKeys.accepted(summary.customer(), summary.route());
        StoreTransaction accept =
                new StoreTransaction()
                        .ifAbsent(ServingKeys.job(job))
                        .ifUnchanged(counter, acceptedRevision)
                        .put(counter, job)
                        .put(ServingKeys.job(job), JobCodec.summary(summary), 0)
                        .put(ServingKeys.owner(job), owner, lease);
        List<byte[]> parts = JobCodec.encodeItems(items);
        for (int i = 0; i < parts.size(); i++) {
            accept.put(ServingKeys.itemPart(job, i), parts.get(i), 0);
        }
        return mStore.commit(accept);
    }

    /** Makes a host the owner of a job whose owner key is at {@code revision}; 0 for none. */
    Future<StoreResult> claim(String job, long revision, byte[] owner, long lease) {
        StoreTransaction claim =
                new StoreTransaction()
                        .ifUnchanged(ServingKeys.owner(job), revision)
                        .put(ServingKeys.owner(job), owner, lease);
        return mStore.commit(claim);
    }

    /**
     * Appends results, as long as the owner is still the one at {@code ownerRevision}.
     *
     * @param summary the summary that all hosts shall know from now on; null for the former one
     */
    Future<StoreResult> append(
            String job,
            long ownerRevision,
            int number,
            byte[] segment,
            @Nullable JobSummary summary) {
        StoreTransaction append =
                new StoreTransaction()
                        .ifUnchanged(ServingKeys.owner(job), ownerRevision)
                        .ifAbsent(ServingKeys.segment(job, number))
                        .put(ServingKeys.segment(job, number), segment, 0);
        if (summary != null) {
            append.put(ServingKeys.job(job), JobCodec.summary(summary), 0);
        }
        if (summary != null && summary.isComplete()) {
            append.delete(ServingKeys.owner(job));
        }
        return mStore.commit(append);
    }

    /** Marks a job as ended by its customer. */
    Future<StoreResult> end(String job) {
        StoreTransaction end = new StoreTransaction().put(ServingKeys.end(job), MARK, 0);
        return mStore.commit(end);
    }

    /** Reads a job's summary as the store has it now; null when there is no such job. */
    Future<@Nullable JobSummary> readSummary(String job) {
        String key = ServingKeys.job(job);
        return mStore.list(key)
                .compose(
                        listing -> {
                            try {
                                for (StoreEntry entry : listing.entries()) {
                                    if (entry.key().equals(key)) {
                                        return Future.succeededFuture(JobCodec.summary(entry));
                                    }
                                }
                                return Future.succeededFuture(null);
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    Future<List<JobItem>> items(String job) {
        return mStore.list(ServingKeys.items(job))
                .compose(
                        listing -> {
                            try {
                                return Future.succeededFuture(
                                        JobCodec.decodeItems(listing.entries()));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    Future<Results> results(String job) {
        return mStore.list(ServingKeys.results(job))
                .compose(
                        listing -> {
                            try {
                                return Future.succeededFuture(results(listing.entries()));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    private static Results results(List<StoreEntry> entries) throws SesamepinException {
        List<JobResult> results = new ArrayList<>();
        Map<String, Integer> failures = new HashMap<>();
        for (StoreEntry entry : entries) {
            JobCodec.Segment segment = JobCodec.segment(entry);
            results.addAll(segment.results());
            failures.putAll(segment.failures());
        }
        return new Results(results, entries.size(), failures);
    }

    /** Removes everything of a job whose results need not be readable any more. */
    Future<Void> remove(String job) {
        return mStore.list(ServingKeys.content(job))
                .compose(
                        listing -> {
                            StoreTransaction remove =
                                    new StoreTransaction()
                                            .delete(ServingKeys.job(job))
                                            .delete(ServingKeys.end(job));
                            listing.entries().stream()
                                    .limit(MAX_REMOVED)
                                    .forEach(entry -> remove.delete(entry.key()));
                            return mStore.commit(remove);
                        })
                .mapEmpty();
    }
}
