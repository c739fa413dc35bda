package org.sesamepin.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Progress of each item of one job, kept by the job's owner. An item that is preempted by online
 * requests, or whose target fails, resumes after its last event at targets of the software that
 * wrote its events, and starts anew at others; only a target's response that the item failed counts
 * as a failure of the item. Results get their positions in the order in which items end, and count
 * as published once the store holds them. Not thread-safe.
 */
public final class JobProgress {
    /** Time for which an item with events waits for a target of the software that wrote them. */
    private static final long SOFTWARE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private enum State {
        OPEN,
        RUNNING,
        FINAL
    }

    private static final class Item {
        private final JobItem mItem;
        private final StringBuilder mOutput = new StringBuilder();
        private State mState = State.OPEN;
        private long mLastEventId;

        /** Whether the output holds the data of an event, which may be empty. */
        private boolean mHasData;

        /** Software that wrote the events held for the item; null when there are none. */
        private @Nullable TargetSoftware mSoftware;

        private long mReopenedAt;
        private long mRunStartedAt;
        private long mRetryAt;
        private boolean mBackingOff;
        private int mFailures;
        private long mRunEvents;

        /** Runs in a row that broke as they began. */
        private int mBrokenRuns;

        private boolean mStarted;
        private long mFirstStartedAt;

        Item(JobItem item) {
            mItem = item;
        }
    }

    private final List<Item> mItems = new ArrayList<>();
    private final Map<String, Integer> mIndexById = new HashMap<>();
    private final List<JobResult> mUnpublished = new ArrayList<>();
    private final List<JobResult> mPublished = new ArrayList<>();
    private int mFinalCount;

    /**
     * Creates the progress of a job, with the state that a former owner has stored.
     *
     * @param items items of the job
     * @param published results that the store holds, in order of position
     * @param failures number of responses that an item failed, by item id
     */
    public JobProgress(
            List<JobItem> items, List<JobResult> published, Map<String, Integer> failures) {
        for (JobItem item : items) {
            mIndexById.put(item.id(), mItems.size());
            mItems.add(new Item(item));
        }
        failures.forEach(
                (id, count) -> {
                    Integer index = mIndexById.get(id);
                    if (index != null) {
                        mItems.get(index).mFailures = count;
                    }
                });
        for (JobResult result : published) {
            mPublished.add(result);
            Integer index = mIndexById.get(result.id());
            if (index != null) {
                markFinal(mItems.get(index));
            }
        }
    }

    private void markFinal(Item item) {
        if (item.mState != State.FINAL) {
            item.mState = State.FINAL;
            mFinalCount++;
        }
    }

    /**
     * Returns the index of the next item to run, or -1 when none can run now. It is the item with
     * the most progress, so that few items are partly done when the owner fails.
     */
    public int nextItem(long now) {
        int next = -1;
        for (int i = 0; i < mItems.size(); i++) {
            Item item = mItems.get(i);
            boolean isFurther = next < 0 || item.mLastEventId > mItems.get(next).mLastEventId;
            if (canRun(item, now) && isFurther) {
                next = i;
            }
        }
        return next;
    }

    /**
     * Returns the index of the next item to run at a target of {@code software}, or -1. Items that
     * go on there are first, the one with the most progress before others, then those without
     * events. An item whose events other software wrote would start anew; it is last, and it waits
     * a while for that software if targets of it serve.
     *
     * @param serves tells whether targets of some software accept requests
     */
    public int nextItem(long now, TargetSoftware software, Predicate<TargetSoftware> serves) {
        int next = -1;
        long mostProgress = Long.MIN_VALUE;
        for (int i = 0; i < mItems.size(); i++) {
            Item item = mItems.get(i);
            long progress = progressAt(item, software);
            if (progress > mostProgress && canRunAt(item, now, software, serves)) {
                next = i;
                mostProgress = progress;
            }
        }
        return next;
    }

    /** Returns the progress of an item at some software; -1 when it would lose its events. */
    private static long progressAt(Item item, TargetSoftware software) {
        return item.mSoftware == null || item.mSoftware.equals(software) ? item.mLastEventId : -1;
    }

    private static boolean canRunAt(
            Item item, long now, TargetSoftware software, Predicate<TargetSoftware> serves) {
        if (!canRun(item, now)) {
            return false;
        }
        TargetSoftware written = item.mSoftware;
        return written == null
                || written.equals(software)
                || now - item.mReopenedAt > SOFTWARE_WAIT_NANOS
                || !serves.test(written);
    }

    private static boolean canRun(Item item, long now) {
        boolean isBackingOff = item.mBackingOff && now - item.mRetryAt < 0;
        return item.mState == State.OPEN && !isBackingOff;
    }

    /**
     * Records that no item runs.
     *
     * @param now reading of the monotonic clock, nanoseconds
     */
    public void recordLoaded(long now) {
        mItems.forEach(item -> item.mReopenedAt = now);
    }

    /**
     * Returns since when an item waits for a run, a reading of the monotonic clock in nanoseconds;
     * empty while it runs and when it is final.
     */
    public OptionalLong waitingSince(int index) {
        Item item = mItems.get(index);
        return item.mState == State.OPEN ? OptionalLong.of(item.mReopenedAt) : OptionalLong.empty();
    }

    /** Returns the time for which a waiting item backs off, nanoseconds; 0 when it can run. */
    public long backOffNanos(int index, long now) {
        Item item = mItems.get(index);
        return item.mBackingOff ? Math.max(0, item.mRetryAt - now) : 0;
    }

    /** Returns the number of items that are waiting and can run now. */
    public int runnableItems(long now) {
        return (int) mItems.stream().filter(item -> canRun(item, now)).count();
    }

    /** Returns the item at {@code index}. */
    public JobItem item(int index) {
        return mItems.get(index).mItem;
    }

    /** Returns the id of the last event received for an item; 0 when there is none. */
    public long lastEventId(int index) {
        return mItems.get(index).mLastEventId;
    }

    /**
     * Returns the id of the event after which a target of {@code software} can go on with an item;
     * 0 when it has to start the item anew.
     */
    public long lastEventId(int index, TargetSoftware software) {
        return Math.max(0, progressAt(mItems.get(index), software));
    }

    /**
     * Records that a target of {@code software} writes the events of an item from now on. Events
     * that other software wrote are dropped.
     */
    public void recordStreamStart(int index, TargetSoftware software) {
        Item item = mItems.get(index);
        if (progressAt(item, software) < 0) {
            dropEvents(item);
            item.mFirstStartedAt = item.mRunStartedAt;
        }
        item.mSoftware = software;
    }

    private static void dropEvents(Item item) {
        item.mOutput.setLength(0);
        item.mHasData = false;
        item.mLastEventId = 0;
        item.mSoftware = null;
    }

    /**
     * Records that an item is running.
     *
     * @param now reading of the monotonic clock, nanoseconds
     */
    public void recordStart(int index, long now) {
        Item item = mItems.get(index);
        item.mState = State.RUNNING;
        item.mRunStartedAt = now;
        item.mRunEvents = 0;
        if (!item.mStarted) {
            item.mStarted = true;
            item.mFirstStartedAt = now;
        }
    }

    /**
     * Returns when the first run of an item here began that its output comes from, a reading of the
     * monotonic clock in nanoseconds.
     */
    public long firstStartedAt(int index) {
        return mItems.get(index).mFirstStartedAt;
    }

    /**
     * Records the event {@code id} of an item, and appends its data to the output of the item.
     *
     * @param data data of the event, which may be empty; null when it has none
     */
    public void appendEvent(int index, long id, @Nullable String data) {
        Item item = mItems.get(index);
        if (data != null) {
            appendData(item, data);
        }
        item.mLastEventId = id;
        item.mRunEvents++;
    }

    private static void appendData(Item item, String data) {
        if (item.mHasData) {
            item.mOutput.append('\n');
        }
        item.mHasData = true;
        item.mOutput.append(data);
    }

    /** Reopens an item that was suspended or that its target did not accept; it can run at once. */
    public void recordSuspension(int index, long now) {
        reopen(mItems.get(index), now);
    }

    /** Reopens an item whose run was interrupted; it can run again after a short back-off. */
    public void recordInterruption(int index, long now) {
        Item item = mItems.get(index);
        reopen(item, now);
        backOff(item, now, BackOff.FIRST_DELAY_NANOS);
    }

    /**
     * Reopens an item whose run its target began and broke off. It can run again after a back-off,
     * which grows with the runs in a row that broke as they began: that bounds the targets that an
     * item can end, and the time that one waits which met their ends by chance.
     */
    public void recordBrokenRun(int index, long now) {
        Item item = mItems.get(index);
        reopen(item, now);
        item.mBrokenRuns = BackOff.hasBegunOnly(item.mRunEvents) ? item.mBrokenRuns + 1 : 0;
        backOff(item, now, BackOff.delayNanos(item.mBrokenRuns));
    }

    private static void backOff(Item item, long now, long delayNanos) {
        item.mBackingOff = true;
        item.mRetryAt = now + delayNanos;
    }

    /** Keeps an item from running before {@code until}, a reading of the monotonic clock. */
    public void defer(int index, long until) {
        Item item = mItems.get(index);
        item.mBackingOff = true;
        item.mRetryAt = until;
    }

    private static void reopen(Item item, long now) {
        if (item.mState == State.RUNNING) {
            item.mState = State.OPEN;
            item.mReopenedAt = now;
            item.mBackingOff = false;
        }
    }

    /**
     * Records a target's response that the item failed. The output so far is dropped. The item
     * fails permanently after {@code maxFailures} failures and is retried otherwise.
     */
    public void recordFailure(int index, int maxFailures, long now) {
        Item item = mItems.get(index);
        item.mFailures++;
        dropEvents(item);
        item.mStarted = false;
        if (item.mFailures >= maxFailures) {
            failPermanently(index);
        } else {
            recordInterruption(index, now);
        }
    }

    /** Fails an item permanently, with an error as its result. */
    public void failPermanently(int index) {
        finish(index, false, "");
    }

    /** Records that the output of an item is complete; the output becomes its result. */
    public void recordCompletion(int index) {
        finish(index, true, mItems.get(index).mOutput.toString());
    }

    private void finish(int index, boolean completed, String output) {
        Item item = mItems.get(index);
        if (item.mState == State.FINAL) {
            return;
        }
        markFinal(item);
        mUnpublished.add(new JobResult(item.mItem.id(), completed, output));
        item.mOutput.setLength(0);
        item.mOutput.trimToSize();
    }

    /** Returns the indexes of all items without a final result. */
    public List<Integer> unfinishedItems() {
        List<Integer> unfinished = new ArrayList<>();
        for (int i = 0; i < mItems.size(); i++) {
            if (mItems.get(i).mState != State.FINAL) {
                unfinished.add(i);
            }
        }
        return unfinished;
    }

    /**
     * Returns the first unpublished results, up to {@code maxBytes} as JSON. Returns at least one
     * result if there is one, even if it exceeds the limit alone.
     */
    public List<JobResult> unpublishedResults(int maxBytes) {
        return List.copyOf(mUnpublished)
                .subList(0, JobResult.countWithin(mUnpublished, 0, maxBytes));
    }

    /** Returns the number of final results that are not published yet. */
    public int unpublishedCount() {
        return mUnpublished.size();
    }

    /** Records that the store holds the first {@code count} unpublished results. */
    public void recordPublished(int count) {
        List<JobResult> published = mUnpublished.subList(0, count);
        mPublished.addAll(published);
        published.clear();
    }

    /** Returns the published results in order of position. */
    public List<JobResult> publishedResults() {
        return mPublished;
    }

    /**
     * Returns the number of failures of each item that has failed but has no final result, by id.
     */
    public Map<String, Integer> failures() {
        Map<String, Integer> failures = new HashMap<>();
        for (Item item : mItems) {
            if (item.mFailures > 0 && item.mState != State.FINAL) {
                failures.put(item.mItem.id(), item.mFailures);
            }
        }
        return failures;
    }

    /** Returns the tokens of all items without a final result. */
    public long openTokens() {
        long tokens = 0;
        for (Item item : mItems) {
            if (item.mState != State.FINAL) {
                tokens += item.mItem.tokens();
            }
        }
        return tokens;
    }

    /** Returns the number of items. */
    public int itemCount() {
        return mItems.size();
    }

    /** Returns whether each item has a final result, published or not. */
    public boolean allFinal() {
        return mFinalCount == mItems.size();
    }

    /** Returns whether the results of all items are published. */
    public boolean isComplete() {
        return mPublished.size() == mItems.size();
    }

    /**
     * Returns the body of the item {@code id}, or null when it is unknown or its result is
     * published.
     */
    public byte @Nullable [] unpublishedBody(String id) {
        Integer index = mIndexById.get(id);
        boolean isPublished = mPublished.stream().anyMatch(result -> result.id().equals(id));
        return index == null || isPublished ? null : mItems.get(index).mItem.body();
    }
}
